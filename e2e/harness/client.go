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

// Header names of the callers' interface.
const (
	HeaderOutcome        = "Fulmarspindle-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
)

// Values of the outcome header.
const (
	OutcomeComplete = "complete"
	OutcomeNotRun   = "not-run"
	OutcomeUnknown  = "unknown"
)

const (
	// maxAnswerBytes bounds the body of an answer.
	maxResponseBytes = 64 << 20
	// readBytes is the size of the first read.
	firstReadBytes = 4 << 10
	// idleConnections is how many connections a client keeps.
	idleConnections = 1024
)

// Errors that VerifyCompletion returns.
var (
	// ErrBroken reports an answer that visibly broke off.
	ErrInterrupted = eris.New("harness: answer broke off")
	// ErrWrongContent reports a whole answer that is not the request's.
	ErrWrongContent = eris.New("harness: wrong content")
	// ErrRefused reports an answer of another status than 200.
	ErrRefused = eris.New("harness: refused")
)

// Answer is what a caller got.
type Response struct {
	// Status is 0 if no header came.
	Status int
	// Outcome is the header's or the trailer's value; empty if neither came.
	Outcome string
	Header  http.Header
	Body    []byte
	// Digest is that of Body.
	Digest string
	// FirstByte and Total are the times from the call to the first and the
	// last byte of the body.
	FirstByte time.Duration
	Total     time.Duration
	// Err is set if the answer broke off or never came.
	Err error
}

// Client calls a router as one team.
type Client struct {
	url  string
	key  string
	http *http.Client
}

// NewClient returns a client for a base URL and a team's bearer key. Calls are
// bounded by their contexts.
func NewClient(url, key string) *Client {
	transport := &http.Transport{MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections}
	return &Client{url: url, key: key, http: &http.Client{Transport: transport}}
}

// Close gives up the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Complete sends a chat request if req has messages, else a text completion.
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

// Call sends a request to a plain service; an empty key sends none.
func (c *Client) CallService(ctx context.Context, method, service, path, key string, body []byte) Response {
	header := http.Header{}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	return c.Do(ctx, method, "/services/"+service+path, body, header)
}

// Do sends any request and reads the answer to its end.
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
		// Streams carry the outcome as a trailer, known once the body has ended.
		response.Outcome = resp.Trailer.Get(HeaderOutcome)
	}
	return response
}

// read reads the body and takes the times.
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

// VerifyCompletion checks that a caller has its own whole answer, byte for
// byte. Else it returns ErrBroken, ErrRefused or ErrWrongContent.
func VerifyCompletion(req standin.CompletionRequest, response Response) error {
	if response.Err != nil {
		return response.Err
	}
	if response.Status != http.StatusOK {
		return eris.Wrapf(ErrRefused, "status %d: %.200s", response.Status, response.Body)
	}
	want := expectedBody(req)
	if !bytes.Equal(response.Body, want) {
		return eris.Wrapf(ErrWrongContent, "got %d bytes of digest %s, want %d of %s",
			len(response.Body), response.Digest, len(want), standin.Digest(want))
	}
	return nil
}

func expectedBody(req standin.CompletionRequest) []byte {
	// The engine fills in what the request leaves open.
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
