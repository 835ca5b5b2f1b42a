package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counters and gauges.
var (
	// requestCounts counts completed requests by kind and outcome.
	requestCounts = expvar.NewMap("gateway_requests")
	// refusalCounts counts refusals by code.
	refusalCounts = expvar.NewMap("gateway_refusals")
	// attemptCounts counts attempts by number and result.
	attemptCounts = expvar.NewMap("gateway_attempts")
	// closedUnread counts connections that their callers closed before anything was
	// read from them.
	closedUnread = expvar.NewInt("gateway_connections_left_unread")
	// unreadySpells counts the periods in which this process was overloaded and
	// reported unready.
	unreadySpells = expvar.NewInt("gateway_unready_spells")
	// retryCounts counts retries by service, both those made and those denied by the
	// budget.
	retryCounts = expvar.NewMap("gateway_retries")
	// evacuatedDomains is the number of failure domains that are evacuated.
	evacuatedDomains = expvar.NewInt("gateway_evacuated_domains")
	// coldSendCounts counts requests sent to cold upstreams by service.
	coldSendCounts = expvar.NewMap("gateway_cold_sends")
	// coldPassedOverCounts counts the times by service that an otherwise acceptable
	// upstream was passed over because it is cold.
	coldPassedOverCounts = expvar.NewMap("gateway_cold_passed_over")
	// limitCounts counts the changes of limits that upstreams name, and overLimitCounts the
	// times that an otherwise acceptable upstream was passed over because of one, both by
	// service.
	limitCounts     = expvar.NewMap("gateway_upstream_limit_changes")
	overLimitCounts = expvar.NewMap("gateway_limit_passed_over")
	// leavingCounts counts the upstreams that said that they leave, pauseCounts the pauses that
	// upstreams asked for, and pausedPassedOverCounts the times that an otherwise acceptable
	// upstream was passed over because of one, all by service.
	leavingCounts          = expvar.NewMap("gateway_upstreams_leaving")
	pauseCounts            = expvar.NewMap("gateway_upstream_pauses")
	pausedPassedOverCounts = expvar.NewMap("gateway_pause_passed_over")
	// crashCounts counts the upstreams that were found to be failing by service.
	crashCounts = expvar.NewMap("gateway_upstream_crashes")
	// blamedParts is the number of prompt parts that are blamed for crashes, and
	// partTrialCounts counts their trials by service.
	blamedParts     = expvar.NewInt("gateway_blamed_prompt_parts")
	partTrialCounts = expvar.NewMap("gateway_prompt_part_trials")
	// unsoundStreamCounts counts the streams in which something other than the upstream's
	// events was found, by service.
	unsoundStreamCounts = expvar.NewMap("gateway_unsound_streams")
	// invalidPeerRegistrations counts the registrations and updates of other routers that
	// are not valid.
	invalidPeerRegistrations = expvar.NewInt("gateway_invalid_peer_registrations")
	// unsoundCacheEntries counts the entries of engines' cache lists that were left out, by
	// service.
	unsoundCacheEntries = expvar.NewMap("gateway_unsound_cache_entries")
	// secondHeads counts responses that were to be written although another one had started.
	secondHeads = expvar.NewInt("gateway_second_responses")
	// upstreamCounts counts attempts by upstream and result.
	upstreamCounts = expvar.NewMap("gateway_upstream_attempts")
)

// Latency histograms, in milliseconds.
var (
	// firstEventTime is the time from a request's arrival to the first byte of its
	// response.
	firstEventTime = newHistogram("gateway_first_event_ms")
	// eventGap is the time between two reads of a stream.
	eventGap = newHistogram("gateway_event_gap_ms")
	// totalTime is the time from a request's arrival to the end of its response.
	totalTime = newHistogram("gateway_total_ms")
	// predictionError is how much later than predicted the first token arrived.
	predictionError = newHistogram("gateway_prediction_error_ms")
)

const (
	// maxRecordedMs is the upper bound of the histograms; longer times are recorded as
	// this value.
	maxRecordedMs = 10 * 60 * 1000
	// histogramDigits is the number of significant digits that the histograms keep.
	histogramDigits = 2
)

// histogram is a latency histogram published through expvar.
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
	// The value is clamped to the histogram's bounds, so that recording cannot fail.
	_ = h.values.RecordValue(ms)
}

// histogramSummary is the published form of a histogram.
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
