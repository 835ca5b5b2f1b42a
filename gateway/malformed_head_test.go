package gateway_test

import "testing"

// malformedHeads are whole responses with heads that are none.
var malformedHeads = map[string]string{
	"status 000":                        "HTTP/1.1 000 \r\nRequest-Id: ID\r\nSigned-By: seal\r\nContent-Length: 4\r\n\r\nbody",
	"a blank in a name":                 signedHead + "X Name: v\r\nContent-Length: 4\r\n\r\nbody",
	"a blank behind a name":             signedHead + "X-Name : v\r\nContent-Length: 4\r\n\r\nbody",
	"a control byte in a name":          signedHead + "X\x01Name: v\r\nContent-Length: 4\r\n\r\nbody",
	"a blank behind a name of framing":  signedHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a blank before a name of framing":  signedHead + " Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a blank in a name, of a stream":    signedHead + streamType + "X Name: v\r\n\r\nid: 1\ndata: d1\n\n",
	"a blank in a name, interim before": "HTTP/1.1 103 Early Hints\r\nX Name: v\r\n\r\n" + signedHead + "Content-Length: 4\r\n\r\nbody",
}

// Guards against a response whose head is malformed that reaches a caller as a success, with the
// malformed line or with a body that is not the upstream's (MIXED).
func TestMalformedHeadIsNoSuccess(t *testing.T) {
	t.Parallel()
	for fault, head := range malformedHeads {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			s := startCutting(t, head, false)
			for path, method := range map[string]string{"/safe/": "GET", "/unsafe/": "POST", "/keyed/": "POST", "/stream/": "POST"} {
				s.expectNoSuccess(t, method, path, len(head))
			}
		})
	}
}
