package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// Headers of the caller API.
const (
	HeaderOutcome        = "Fulmarspindle-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
)

// Values of HeaderOutcome.
const (
	OutcomeComplete = "complete"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

const (
	// maxResponseBytes limits the response body that is read after the first read.
	maxResponseBytes = 64 << 20
	// firstReadBytes is the buffer size of the first read.
	firstReadBytes = 4 << 10
	// idleConnections is the maximum number of idle connections of a client.
	idleConnections = 1024
)

// Errors that VerifyCompletion returns.
var (
	// ErrInterrupted reports a response that the client saw fail: it was cut off or
	// never arrived.
	ErrInterrupted = eris.New("harness: response interrupted")
	// ErrWrongContent reports a complete response that does not match the request.
	ErrWrongContent = eris.New("harness: wrong content")
	// ErrRefused reports a response with a status other than 200.
	ErrRefused = eris.New("harness: refused")
)

// Response is a response as the caller received it.
type Response struct {
	// Status is 0 if no response header arrived.
	Status int
	// Outcome is the value of HeaderOutcome in the header or the trailer; it is
	// empty if neither contains it.
	Outcome string
	Header  http.Header
	Body    []byte
	// Digest is the digest of Body.
	Digest string
	// FirstByte and Total are the times from the start of the request to the first
	// and the last byte of the body.
	FirstByte time.Duration
	Total     time.Duration
	// Err is set if the request could not be built or the response was interrupted.
	Err error
}

// Client sends requests to a router on behalf of one team.
type Client struct {
	url  string
	key  string
	http *http.Client
}

// NewClient returns a client for a base URL and a team's bearer key. Only the
// context of a call limits its duration.
func NewClient(url, key string) *Client {
	transport := &http.Transport{MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections}
	return &Client{url: url, key: key, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Complete sends a chat completion request if req has messages, otherwise a text
// completion request.
func (c *Client) Complete(ctx context.Context, req standin.CompletionRequest, header http.Header) Response {
	body, err := json.Marshal(req)
	if err != nil {
		return Response{Err: err}
	}
	path := "/v1/completions"
	if isChat(req) {
		path = "/v1/chat/completions"
	}
	return c.Do(ctx, http.MethodPost, path, body, header)
}

// CallService sends a request to a plain service, with an idempotency key unless
// key is empty.
func (c *Client) CallService(ctx context.Context, method, service, path, key string, body []byte) Response {
	header := http.Header{}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	return c.Do(ctx, method, "/services/"+service+path, body, header)
}

// Do sends a request and reads the complete response.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, header http.Header) Response {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	if header != nil {
		req.Header = header.Clone()
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	if req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{Err: eris.Wrap(ErrInterrupted, err.Error()), Total: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	response := Response{Status: resp.StatusCode, Outcome: resp.Header.Get(HeaderOutcome), Header: resp.Header}
	response.read(resp.Body, start)
	if response.Outcome == "" {
		// Streams carry the outcome in a trailer, which follows the body.
		response.Outcome = resp.Trailer.Get(HeaderOutcome)
	}
	return response
}

// read reads the body and records the times.
func (r *Response) read(body io.Reader, start time.Time) {
	first := make([]byte, firstReadBytes)
	n, err := body.Read(first)
	r.FirstByte = time.Since(start)
	r.Body = first[:n]
	if err == nil {
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(body, maxResponseBytes))
		r.Body = append(r.Body, rest...)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		r.Err = eris.Wrap(ErrInterrupted, err.Error())
	}
	r.Total = time.Since(start)
	r.Digest = standin.Digest(r.Body)
}

// VerifyCompletion checks that the response is complete and equals, byte for byte,
// the one that req determines. Otherwise it returns ErrInterrupted, ErrRefused or
// ErrWrongContent.
func VerifyCompletion(req standin.CompletionRequest, response Response) error {
	if response.Err != nil {
		return response.Err
	}
	if response.Status != http.StatusOK {
		return eris.Wrapf(ErrRefused, "status %d: %.200s", response.Status, response.Body)
	}
	want := expectedBody(req)
	if !bytes.Equal(response.Body, want) {
		return eris.Wrapf(ErrWrongContent, "got %d bytes with digest %s, want %d bytes with digest %s",
			len(response.Body), response.Digest, len(want), standin.Digest(want))
	}
	return nil
}

func expectedBody(req standin.CompletionRequest) []byte {
	// ParseCompletion applies the engine's defaults to the request.
	data, err := json.Marshal(req)
	if err != nil {
		return nil
	}
	parsed, err := standin.ParseCompletion(data)
	if err != nil {
		return nil
	}
	if parsed.Stream {
		return bytes.Join(standin.StreamEvents(parsed, isChat(req)), nil)
	}
	return standin.ResponseBody(parsed, isChat(req))
}

func isChat(req standin.CompletionRequest) bool {
	return len(req.Messages) > 0
}
