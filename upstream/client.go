// Package upstream holds the HTTP/1.1 clients of upstreams. Client serves a sidecar,
// and Meter measures the cost of its calls. Pool serves a gateway, which needs to know
// whether any byte of a failed request was sent.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/eventstream"
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
	http       *http.Client
}

// NewClient returns a client of the upstream at baseURL.
func NewClient(baseURL, healthPath string) *Client {
	return &Client{baseURL: baseURL, healthPath: healthPath, http: newHTTPClient()}
}

// newHTTPClient returns a client that opens a connection for each request. Responses have no
// id, so that on a reused connection an extra one would be taken for the response to the next
// request; the transport may also resend a request there.
func newHTTPClient() *http.Client {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
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

	resp, err := c.send(ctx, call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	idle.stop()
	if err := checkResumed(call, resp); err != nil {
		return err
	}
	if err := sink.Head(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	if isEventStream(resp.Header) {
		events := &eventRelay{sink: sink, splitter: eventstream.Splitter{Limit: maxEventBytes}, checker: eventstream.NewChecker(eventstream.Contract{})}
		if err := relay(ctx, resp.Body, events.data, idle); err != nil {
			return err
		}
		return events.end()
	}
	return relay(ctx, resp.Body, sink.Data, idle)
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
func (c *Client) send(ctx context.Context, call *Call) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		// The transport writes the request as soon as it has a connection.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, call.Method, c.baseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	req.Header = call.Header.Clone()
	if call.ResumeOffset > 0 {
		req.Header.Set(HeaderResumeOffset, strconv.FormatUint(call.ResumeOffset, 10))
	}
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	if !sent.Load() {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return nil, transportError(ctx, err)
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

func relay(ctx context.Context, body io.Reader, data func([]byte) error, idle *idleTimer) error {
	buf := make([]byte, readBufferBytes)
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
			return transportError(ctx, err)
		}
	}
}

// transportError converts an error of the transport to ErrIdle or ErrInterrupted.
func transportError(ctx context.Context, err error) error {
	if eris.Is(context.Cause(ctx), ErrIdle) {
		return eris.Wrap(ErrIdle, err.Error())
	}
	return eris.Wrap(ErrInterrupted, err.Error())
}

// CheckHealth requests the upstream's health path. It returns nil for a complete response with
// a 2xx status.
func (c *Client) CheckHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+c.healthPath, nil)
	if err != nil {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(ErrInterrupted, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(ErrInterrupted, "health check returned status %d", resp.StatusCode)
	}
	length, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBytes+1))
	switch {
	case err != nil:
		return eris.Wrap(ErrInterrupted, err.Error())
	case length > maxHealthBytes:
		return eris.Wrapf(ErrInterrupted, "health check returned more than %d bytes", maxHealthBytes)
	}
	return nil
}
