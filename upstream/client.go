// Package upstream holds the HTTP/1.1 clients of upstreams. Client serves a sidecar,
// and Meter measures the cost of its calls. Pool serves a gateway, which needs to know
// whether any byte of a failed request was sent.
package upstream

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/exchange"
)

const (
	readBufferBytes = 32 << 10
	healthTimeout   = 2 * time.Second
	// maxHealthBytes limits the body of a health check's response.
	maxHealthBytes = 1 << 20
)

// HeaderResumeOffset asks an upstream to resume a stream at a byte offset, and
// HeaderResumedAt confirms it.
const (
	HeaderResumeOffset = "X-Resume-Offset"
	HeaderResumedAt    = "X-Resumed-At"
)

// Client calls one upstream.
type Client struct {
	baseURL    string
	healthPath string
}

// NewClient returns a client of the upstream at baseURL.
func NewClient(baseURL, healthPath string) *Client {
	return &Client{baseURL: baseURL, healthPath: healthPath}
}

// Call is one request to the upstream.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// IdleTimeout limits the time without a byte of the response.
	IdleTimeout time.Duration
	// ResumeOffset is the number of body bytes to skip, zero for none.
	ResumeOffset uint64
}

// Sink receives the response of a call.
type Sink interface {
	Head(status int, header http.Header) error
	Data(p []byte) error
}

// Do sends the call and relays the response to sink. Of an event stream it relays whole
// events only. Its errors are ErrNotSent, ErrInterrupted, ErrIdle, ErrUnsound, and those of
// the sink.
func (c *Client) Do(ctx context.Context, call *Call, sink Sink) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := &idleTimer{timeout: call.IdleTimeout}
	idle.timer = time.AfterFunc(call.IdleTimeout, func() { cancel(ErrIdle) })
	defer idle.stop()

	x, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	defer x.Close()
	resp := x.Response
	idle.stop()
	if err := checkResumed(call, resp); err != nil {
		return err
	}
	if err := sink.Head(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	if isEventStream(resp.Header) {
		events := newEventRelay(ctx, sink)
		defer events.close()
		if err := relay(ctx, x, make([]byte, streamReadBytes), events.data, idle); err != nil {
			return err
		}
		return events.end()
	}
	return relay(ctx, x, make([]byte, readBufferBytes), sink.Data, idle)
}

// idleTimer enforces the idle timeout. It is stopped while the sink processes data,
// because that time is not the upstream's.
type idleTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func (t *idleTimer) start() { t.timer.Reset(t.timeout) }

func (t *idleTimer) stop() { t.timer.Stop() }

// send sends the call and waits for the response's head.
func (c *Client) send(ctx context.Context, call *Call) (*Exchange, error) {
	header := http.Header{}
	maps.Copy(header, call.Header)
	if call.ResumeOffset > 0 {
		header.Set(HeaderResumeOffset, strconv.FormatUint(call.ResumeOffset, 10))
	}
	x, err := c.do(ctx, call.Method, call.Path, header, call.Body)
	switch {
	case err == nil:
		return x, nil
	case errors.Is(err, ErrWithdrawn):
		return nil, eris.Wrap(ErrNotSent, err.Error())
	case errors.Is(err, ErrNotSent):
		return nil, err
	default:
		return nil, callError(ctx, err)
	}
}

// framingHeaders are those that the request is written with anew.
var framingHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer"}

// do sends a request on a connection of its own. Responses have no id, so that on a reused
// connection an extra one would be taken for the response to the next request. Its errors are
// those of Pool.Do.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (*Exchange, error) {
	target, err := url.Parse(c.baseURL + path)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	for _, name := range framingHeaders {
		header.Del(name)
	}
	header.Set("Connection", "close")
	pool := NewPool(addressOf(target))
	// The exchange closes its connection instead of returning it to a closed pool.
	defer pool.Close()
	return pool.Do(ctx, &Request{
		Method: method, URI: target.RequestURI(), Host: target.Host, Header: header, Body: body,
		Attribute: func(int, http.Header) exchange.Attribution { return exchange.Own },
	})
}

// addressOf returns the address of a URL's server and how its connections are opened.
func addressOf(target *url.URL) (string, PoolOptions) {
	if target.Scheme == "https" {
		return net.JoinHostPort(target.Hostname(), cmp.Or(target.Port(), "443")), PoolOptions{TLS: &tls.Config{ServerName: target.Hostname()}}
	}
	return net.JoinHostPort(target.Hostname(), cmp.Or(target.Port(), "80")), PoolOptions{}
}

func checkResumed(call *Call, resp *http.Response) error {
	if call.ResumeOffset == 0 {
		return nil
	}
	want := strconv.FormatUint(call.ResumeOffset, 10)
	if resp.StatusCode == http.StatusOK && resp.Header.Get(HeaderResumedAt) == want {
		return nil
	}
	return eris.Wrap(ErrInterrupted, "the upstream did not resume the stream")
}

func relay(ctx context.Context, body io.Reader, buf []byte, data func([]byte) error, idle *idleTimer) error {
	for {
		idle.start()
		n, err := body.Read(buf)
		idle.stop()
		if n > 0 {
			if sinkErr := data(buf[:n]); sinkErr != nil {
				return sinkErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return callError(ctx, err)
		}
	}
}

// callError returns ErrIdle for an ErrInterrupted that is due to the idle timeout.
func callError(ctx context.Context, err error) error {
	if eris.Is(context.Cause(ctx), ErrIdle) {
		return eris.Wrap(ErrIdle, err.Error())
	}
	return err
}

// CheckHealth requests the upstream's health path. It returns nil for a complete response with
// a 2xx status.
func (c *Client) CheckHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	x, err := c.do(ctx, http.MethodGet, c.healthPath, http.Header{}, nil)
	switch {
	case errors.Is(err, ErrInterrupted):
		return err
	case err != nil:
		return eris.Wrap(ErrInterrupted, err.Error())
	}
	defer x.Close()
	if status := x.Response.StatusCode; status/100 != 2 {
		return eris.Wrapf(ErrInterrupted, "health check returned status %d", status)
	}
	length, err := io.Copy(io.Discard, io.LimitReader(x, maxHealthBytes+1))
	switch {
	case err != nil:
		return err
	case length > maxHealthBytes:
		return eris.Wrapf(ErrInterrupted, "health check returned more than %d bytes", maxHealthBytes)
	}
	return nil
}
