package upstream

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/exchange"
)

const (
	// maxForeignResponses limits the responses to other requests that are
	// discarded for one request.
	maxForeignResponses = 3
	// maxForeignBodyBytes limits the body of a discarded response.
	maxForeignBodyBytes = 1 << 20
)

// readResponse reads response heads until one belongs to the request. Late responses to
// earlier requests on the connection are discarded.
//
// A response without an id belongs to the request that is waiting, as no earlier one on the
// connection had such a response: the connection is closed after it, because a second copy
// of it could not be told from a response to the next request.
func readResponse(c *conn, r *Request) (*http.Response, error) {
	foreign := 0
	for {
		resp, err := readFinalResponse(c, r.Method)
		if err != nil {
			return nil, err
		}
		switch r.Attribute(resp.StatusCode, resp.Header) {
		case exchange.Own:
			return resp, nil
		case exchange.Unmarked:
			c.closeCause = closedUnmarked
			resp.Body = http.NoBody
			return resp, nil
		case exchange.Foreign:
		}
		foreign++
		if foreign > maxForeignResponses || resp.Close || !discardBody(resp) {
			return nil, eris.New("response does not belong to the request")
		}
	}
}

// readFinalResponse reads the head of the next response that is not an interim (1xx)
// one.
func readFinalResponse(c *conn, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	remaining := maxHeadBytes
	for range maxInterimResponses + 1 {
		if err := c.awaitHead(remaining); err != nil {
			return nil, err
		}
		before := len(c.prefetched)
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 || resp.StatusCode >= 200 {
			return resp, nil
		}
		remaining -= before - len(c.prefetched) - c.reader.Buffered()
	}
	return nil, eris.Wrapf(errMalformedHead, "more than %d interim responses", maxInterimResponses)
}

// discardBody reads the body of a foreign response and reports whether it ended
// within maxForeignBodyBytes. The body is not closed, because Close would read it
// without a limit.
func discardBody(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes+1))
	return err == nil && n <= maxForeignBodyBytes
}
