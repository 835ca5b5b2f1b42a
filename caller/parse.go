package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"fulmarspindle.example/fulmarspindle/claim"
	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Limits on the headers and prompts of callers.
const (
	maxIdempotencyKeyBytes = claim.MaxKeyBytes
	minRequestTimeout      = time.Millisecond
	maxRequestTimeout      = 24 * time.Hour
	// affinityPrefixBytes is the length of the prompt prefix that the affinity key
	// is computed from.
	affinityPrefixBytes = 256
)

// unforwardedHeaders are the request headers that are not forwarded to the upstream:
// hop-by-hop headers and those that this interface interprets itself.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding",
	HeaderRequestTimeout, "Traceparent", "Tracestate",
	// Only the router sets the offset, when it resumes an interrupted stream.
	"X-Resume-Offset",
}

func (s *Server) authenticate(c echo.Context) (*config.Index, fleet.TeamID, error) {
	index := s.opts.Index()
	if index == nil {
		refusal := NotRun(http.StatusServiceUnavailable, "no_configuration", "no configuration has been accepted yet")
		refusal.RetryAfter = time.Second
		return nil, "", refusal
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	if ok {
		if team, known := index.TeamByKey(key); known {
			return index, team, nil
		}
	}
	return nil, "", NotRun(http.StatusUnauthorized, "unauthorized", "a team's bearer key is required")
}

func (s *Server) readBody(c echo.Context) ([]byte, error) {
	limit := s.opts.Limits.MaxBodyBytes
	rc := http.NewResponseController(c.Response())
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(limit)
	}
	return nil, NotRun(http.StatusBadRequest, "incomplete_body", "the request body could not be read in time")
}

func bodyTooLarge(limit int64) *Refusal {
	return NotRun(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body exceeds %d bytes", limit))
}

// completion holds the fields of a completion request that routing uses.
type completion struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
}

func parseCompletion(body []byte) (*completion, error) {
	var parsed completion
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, NotRun(http.StatusBadRequest, "invalid_json", "the body is not a JSON object: "+err.Error())
	}
	if parsed.Model == "" {
		return nil, NotRun(http.StatusBadRequest, "missing_model", "the field \"model\" must name a service")
	}
	return &parsed, nil
}

func (c *completion) affinityKey() uint64 {
	prompt := c.Messages
	if len(prompt) == 0 {
		prompt = c.Prompt
	}
	return xxhash.Sum64(prompt[:min(len(prompt), affinityPrefixBytes)])
}

func idempotencyKey(h http.Header, required bool) (string, error) {
	key := h.Get(HeaderIdempotencyKey)
	if key == "" && required {
		return "", NotRun(http.StatusBadRequest, "missing_idempotency_key",
			"this request is non-idempotent: the header Idempotency-Key is required")
	}
	if len(key) > maxIdempotencyKeyBytes {
		return "", NotRun(http.StatusBadRequest, "invalid_idempotency_key",
			fmt.Sprintf("Idempotency-Key exceeds %d bytes", maxIdempotencyKeyBytes))
	}
	if !utf8.ValidString(key) {
		return "", NotRun(http.StatusBadRequest, "invalid_idempotency_key", "Idempotency-Key is not valid UTF-8")
	}
	return key, nil
}

func requestTimeout(h http.Header) (time.Duration, error) {
	value := h.Get(HeaderRequestTimeout)
	if value == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	valid := err == nil && seconds >= minRequestTimeout.Seconds() && seconds <= maxRequestTimeout.Seconds()
	if !valid {
		return 0, NotRun(http.StatusBadRequest, "invalid_timeout",
			fmt.Sprintf("Request-Timeout must be %g to %.0f seconds, got %q",
				minRequestTimeout.Seconds(), maxRequestTimeout.Seconds(), value))
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// requestDigest returns a hash of the request's team, service, method, path and
// body. Each of the first four is preceded by its length, so that different
// requests never have the same input to the hash.
func requestDigest(req *Request) string {
	h := sha256.New()
	for _, part := range []string{string(req.Team), string(req.Service), req.Method, req.Path} {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// checkText refuses a request whose path or headers are not valid UTF-8: messages between
// processes can't carry them.
func checkText(req *Request) error {
	if !utf8.ValidString(req.Path) {
		return NotRun(http.StatusBadRequest, "invalid_request", "the path is not valid UTF-8")
	}
	for name, values := range req.Header {
		for _, value := range values {
			if !utf8.ValidString(value) {
				return NotRun(http.StatusBadRequest, "invalid_request", "the header "+name+" is not valid UTF-8")
			}
		}
	}
	return nil
}
