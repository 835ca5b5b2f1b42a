// Package httpconn reads HTTP/1.1 responses from connections: heads within limits, and the end
// of a connection as the end of a body only where nothing speaks against it. Transport makes
// the connections of a net/http client such connections.
package httpconn

import "github.com/rotisserie/eris"

// ErrMalformedHead reports bytes that are not the head of a response, or a head over the
// limits.
var ErrMalformedHead = eris.New("httpconn: malformed or oversized response head")
