package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counters of the gateway.
var (
	// requestCounts counts answered requests by kind and outcome.
	requestCounts = expvar.NewMap("gateway_requests")
	// refusalCounts counts answers of the gateway's own by code.
	refusalCounts = expvar.NewMap("gateway_refusals")
	// attemptCounts counts attempts by number and result.
	attemptCounts = expvar.NewMap("gateway_attempts")
	// closedUnread counts connections that their callers closed before anything was
	// read.
	closedUnread = expvar.NewInt("gateway_connections_left_unread")
	// unreadySpells counts the times that this process could not keep up and took no
	// new connections for a while.
	unreadySpells = expvar.NewInt("gateway_unready_spells")
	// retryCounts counts retries, and those that the budget did not allow, by
	// service.
	retryCounts = expvar.NewMap("gateway_retries")
	// upstreamCounts counts attempts by upstream and result.
	upstreamCounts = expvar.NewMap("gateway_upstream_attempts")
)

// Latency histograms of the gateway, in milliseconds.
var (
	// firstEventTime is the time from a request's arrival to its answer's first
	// byte.
	firstEventTime = newHistogram("gateway_first_event_ms")
	// eventGap is the time between two events of a stream.
	eventGap = newHistogram("gateway_event_gap_ms")
	// totalTime is the time from a request's arrival to the end of its answer.
	totalTime = newHistogram("gateway_total_ms")
	// predictionError is the time to the first token beyond the predicted one.
	predictionError = newHistogram("gateway_prediction_error_ms")
)

const (
	// maxRecordedMs is the longest time that a histogram tells apart.
	maxRecordedMs = 10 * 60 * 1000
	// histogramDigits is the precision of the histograms.
	histogramDigits = 2
)

// histogram is a latency histogram that expvar publishes.
type histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram(name string) *histogram {
	h := &histogram{values: hdrhistogram.New(1, maxRecordedMs, histogramDigits)}
	expvar.Publish(name, expvar.Func(h.summary))
	return h
}

func (h *histogram) record(d time.Duration) {
	ms := min(max(d.Milliseconds(), 0), maxRecordedMs)
	h.mu.Lock()
	defer h.mu.Unlock()
	// Values within the bounds are always taken.
	_ = h.values.RecordValue(ms)
}

// histogramSummary is a histogram as it is published.
type histogramSummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (h *histogram) summary() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return histogramSummary{
		Count: h.values.TotalCount(),
		P50:   h.values.ValueAtQuantile(50),
		P95:   h.values.ValueAtQuantile(95),
		P99:   h.values.ValueAtQuantile(99),
		Max:   h.values.Max(),
	}
}
