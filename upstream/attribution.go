package upstream

import (
	"io"
	"net/http"

	"fulmarspindle.example/fulmarspindle/exchange"
)

const (
	// maxForeignResponses limits the responses to other requests that are
	// discarded for one request.
	maxForeignResponses = 3
	// maxForeignBodyBytes limits the body of a discarded response.
	maxForeignBodyBytes = 1 << 20
)

// responseReader finds the response to one request on a connection.
//
// A response with an id belongs to the request with that id. One without an id, a refusal,
// belongs to the waiting request if nothing else has arrived since that was sent: all earlier
// responses on the connection bore ids, so that it is no copy of one of them. Otherwise the
// upstream sends extra responses, a refusal without an id proves nothing, and the outcome is
// unknown. In both cases the connection is closed after the request.
type responseReader struct {
	conn    *conn
	request *Request
	// discarded is the number of responses that were discarded, and refused is set once one
	// of them was a refusal without an id.
	discarded int
	refused   bool
}

// read reads responses until one belongs to the request.
func (r *responseReader) read() (*http.Response, error) {
	for {
		resp, err := r.conn.ReadResponse(r.request.Method)
		if err != nil {
			return nil, err
		}
		switch r.request.Attribute(resp.StatusCode, resp.Header) {
		case exchange.Own:
			return resp, nil
		case exchange.Unmarked:
			if r.accept(resp) {
				return resp, nil
			}
		case exchange.Foreign:
			if resp.Close || !discardBody(resp) {
				return nil, errForeign
			}
		}
		if err := r.discard(); err != nil {
			return nil, err
		}
	}
}

// accept reports whether a response without an id belongs to the request, and reads its body.
func (r *responseReader) accept(resp *http.Response) bool {
	r.refused = true
	r.conn.closeCause = closedUnmarked
	// Without a length, or if the body is not complete, all that follows is the body.
	complete := !isCloseDelimited(resp) && discardBody(resp)
	resp.Body = http.NoBody
	return r.discarded == 0 && (!complete || !r.conn.hasPendingBytes())
}

// discard counts a response that does not belong to the request. It returns an error if the
// response to the request can't be told from others any more, or there were too many others.
func (r *responseReader) discard() error {
	r.discarded++
	r.conn.closeCause = closedForeign
	switch {
	case r.refused && !r.conn.hasPendingBytes():
		countClosed(closedUnattributed)
		return errUnattributed
	case r.discarded > maxForeignResponses:
		return errForeign
	}
	return nil
}

// isCloseDelimited reports whether the end of the connection marks the end of the body.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// discardBody reads the body of a foreign response and reports whether it ended
// within maxForeignBodyBytes. The body is not closed, because Close would read it
// without a limit.
func discardBody(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBodyBytes+1))
	return err == nil && n <= maxForeignBodyBytes
}
