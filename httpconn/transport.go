package httpconn

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Transport is an http.RoundTripper whose connections are Conns. It speaks HTTP/1.1 only.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport with the settings of base, which must not be used or changed
// any more.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return wrap(dial(ctx, network, address))
	}
	dialTLS := &tls.Dialer{Config: base.TLSClientConfig}
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return wrap(dialTLS.DialContext(ctx, network, address))
	}
	base.ForceAttemptHTTP2 = false
	// Conn has the limit of the heads; this one includes a part of the body.
	base.MaxResponseHeaderBytes = 2 * maxHeadBytes
	return &Transport{base: base}
}

func wrap(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return New(c), nil
}

// NewClient returns a client with the settings of net/http by default, whose calls time out after
// timeout.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone()), Timeout: timeout}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				used.Store(c)
				c.BeginRequest()
				c.expectResponse()
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil {
				c.EndRequest(info.Err)
			}
		},
	}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// transportHead is the state of the heads of one response that a Transport reads.
type transportHead struct {
	// remaining is the size in bytes that is left for heads, and interim the number of interim
	// ones so far.
	remaining, interim int
	// checked is the number of prefetched bytes that belong to an interim head.
	checked int
}

// expectResponse makes Read check the heads of the next response. Nothing of the one before is
// left to be read.
func (c *Conn) expectResponse() {
	c.head = transportHead{remaining: maxHeadBytes}
	c.expectsHead.Store(true)
}

// readHead returns bytes of heads that are complete and were checked, with what follows the
// final one.
func (c *Conn) readHead(p []byte) (int, error) {
	if c.head.checked == 0 {
		length, err := c.awaitHead(c.head.remaining)
		if err != nil {
			return 0, err
		}
		if !isInterim(c.prefetched[:length]) {
			c.expectsHead.Store(false)
			return c.takePrefetched(p), nil
		}
		if c.head.interim++; c.head.interim > maxInterimResponses {
			return 0, eris.Wrapf(ErrMalformedHead, "more than %d interim responses", maxInterimResponses)
		}
		c.head.remaining -= length
		c.head.checked = length
	}
	n := c.takePrefetched(p[:min(len(p), c.head.checked)])
	c.head.checked -= n
	return n, nil
}

// isInterim reports whether a head is that of an interim response.
func isInterim(head []byte) bool { return bytes.HasPrefix(statusCode(head), []byte("1")) }
