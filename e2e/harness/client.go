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
	maxAnswerBytes = 64 << 20
	// readBytes is the size of the first read.
	readBytes = 4 << 10
	// idleConnections is how many connections a client keeps.
	idleConnections = 1024
)

// Errors that VerifyCompletion returns.
var (
	// ErrBroken reports an answer that visibly broke off.
	ErrBroken = eris.New("harness: answer broke off")
	// ErrWrongContent reports a whole answer that is not the request's.
	ErrWrongContent = eris.New("harness: wrong content")
	// ErrRefused reports an answer of another status than 200.
	ErrRefused = eris.New("harness: refused")
)

// Answer is what a caller got.
type Answer struct {
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
func (c *Client) Complete(ctx context.Context, req standin.CompletionRequest, header http.Header) Answer {
	body, err := json.Marshal(req)
	if err != nil {
		return Answer{Err: err}
	}
	path := "/v1/completions"
	if isChat(req) {
		path = "/v1/chat/completions"
	}
	return c.Do(ctx, http.MethodPost, path, body, header)
}

// Call sends a request to a plain service; an empty key sends none.
func (c *Client) Call(ctx context.Context, method, service, path, key string, body []byte) Answer {
	header := http.Header{}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	return c.Do(ctx, method, "/services/"+service+path, body, header)
}

// Do sends any request and reads the answer to its end.
func (c *Client) Do(ctx context.Context, method, path string, body []byte, header http.Header) Answer {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
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
	begin := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: eris.Wrap(ErrBroken, err.Error()), Total: time.Since(begin)}
	}
	defer func() { _ = resp.Body.Close() }()
	answer := Answer{Status: resp.StatusCode, Outcome: resp.Header.Get(HeaderOutcome), Header: resp.Header}
	answer.read(resp.Body, begin)
	if answer.Outcome == "" {
		// Streams carry the outcome as a trailer, known once the body has ended.
		answer.Outcome = resp.Trailer.Get(HeaderOutcome)
	}
	return answer
}

// read reads the body and takes the times.
func (a *Answer) read(body io.Reader, begin time.Time) {
	first := make([]byte, readBytes)
	n, err := body.Read(first)
	a.FirstByte = time.Since(begin)
	a.Body = first[:n]
	if err == nil {
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(body, maxAnswerBytes))
		a.Body = append(a.Body, rest...)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		a.Err = eris.Wrap(ErrBroken, err.Error())
	}
	a.Total = time.Since(begin)
	a.Digest = standin.Digest(a.Body)
}

// VerifyCompletion checks that a caller has its own whole answer, byte for
// byte. Else it returns ErrBroken, ErrRefused or ErrWrongContent.
func VerifyCompletion(req standin.CompletionRequest, answer Answer) error {
	if answer.Err != nil {
		return answer.Err
	}
	if answer.Status != http.StatusOK {
		return eris.Wrapf(ErrRefused, "status %d: %.200s", answer.Status, answer.Body)
	}
	want := expectedBody(req)
	if !bytes.Equal(answer.Body, want) {
		return eris.Wrapf(ErrWrongContent, "got %d bytes of digest %s, want %d of %s",
			len(answer.Body), answer.Digest, len(want), standin.Digest(want))
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
