package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/placement"
)

// limitHeader names the limit of an upstream.
const limitHeader = "Limit"

// leavingHeader says that an upstream leaves, and pauseHeader how long it wants no requests.
const (
	leavingHeader = "Leaving"
	pauseHeader   = "Pause"
)

// partsHeader lists the parts of a prompt by name.
const partsHeader = "Parts"

// readyPath is the path of the health check in tests.
const readyPath = "/ready"

var (
	// errStoreUnavailable is the error of an unavailable store or engine.
	errStoreUnavailable = eris.New("store unavailable")
	// errConnectionLost is the error of a call whose connection to the store was lost.
	errConnectionLost = eris.New("connection to the store lost")
	// errHeader reports a malformed header.
	errHeader = eris.New("bad header")
)

// plainDialect is a minimal gateway.Dialect for tests.
type plainDialect struct{}

func (plainDialect) ParseRequest(r *http.Request) (exchange.Inbound, error) {
	in := exchange.Inbound{
		ID: r.Header.Get("Request-Id"), Host: r.Host, URI: r.RequestURI, Path: r.URL.EscapedPath(), Key: r.Header.Get("Key"),
		Header: r.Header.Clone(),
	}
	if left := r.Header.Get("Time-Left"); left != "" {
		ms, err := strconv.Atoi(left)
		if err != nil {
			return in, eris.Wrap(errHeader, err.Error())
		}
		in.Deadline = time.Duration(ms) * time.Millisecond
	}
	in.ResumeAfter, _ = strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64) // Zero if it is absent.
	if parts := r.Header.Get(partsHeader); parts != "" {
		in.PartNames = strings.Split(parts, ",")
		for _, name := range in.PartNames {
			in.Prompt = append(in.Prompt, placement.Part{ID: xxhash.Sum64String(name), Tokens: 100})
		}
	}
	for _, name := range []string{"Key", "Team", "Upstream-Id", "Time-Left", "Connection", "Content-Length", "Transfer-Encoding"} {
		in.Header.Del(name)
	}
	return in, nil
}

func (plainDialect) RequestHeader(in exchange.Inbound, out exchange.Outbound) http.Header {
	h := in.Header.Clone()
	h.Set("Upstream-Id", string(out.Upstream))
	h.Set("Time-Left", strconv.FormatInt(out.Deadline.Milliseconds(), 10))
	if out.Team != "" {
		h.Set("Team", string(out.Team))
	}
	if out.ResumeAfter != "" {
		h.Set("Last-Event-Id", out.ResumeAfter)
	}
	return h
}

func (plainDialect) AttributeResponse(in exchange.Inbound, _ int, h http.Header) exchange.Attribution {
	switch id := h.Get("Request-Id"); {
	case id == in.ID:
		return exchange.Own
	case id == "" && h.Get("Signed-By") == "":
		return exchange.Unmarked
	}
	return exchange.Foreign
}

func (plainDialect) ClassifyResponse(status int, h http.Header) exchange.Outcome {
	switch {
	case h.Get("Unrun") != "", status == http.StatusMisdirectedRequest:
		return exchange.NotRun
	case h.Get("Signed-By") == "", h.Get("Content-Encoding") != "":
		return exchange.Invalid
	case status >= http.StatusInternalServerError:
		return exchange.Failed
	}
	return exchange.Ran
}

func (plainDialect) SelfReport(_ int, h http.Header) (exchange.SelfReport, error) {
	report := exchange.SelfReport{Leaving: h.Get(leavingHeader) != ""}
	if value := h.Get(pauseHeader); value != "" {
		pause, err := time.ParseDuration(value)
		if err != nil {
			return report, eris.Wrap(errHeader, err.Error())
		}
		report.Pause = pause
	}
	value := h.Get(limitHeader)
	if value == "" {
		return report, nil
	}
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil {
		report.Limit.Malformed = true
		return report, eris.Wrap(errHeader, err.Error())
	}
	report.Limit = exchange.RequestLimit{Named: true, Rate: rate}
	return report, nil
}

func (plainDialect) StreamContract() eventstream.Contract {
	return eventstream.Contract{Numbered: true, NumericField: "weights"}
}

func (plainDialect) ResponseHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Connection")
	out.Del("Transfer-Encoding")
	return out
}
