package upstream

import (
	"bytes"
	"encoding/json"
	"time"
)

// Prices are the costs of a service's units.
type Prices struct {
	PromptToken    float64
	GeneratedToken float64
	Second         float64
}

// bytesPerToken estimates prompt tokens before the engine reports them.
const bytesPerToken = 4

// maxTailBytes bounds the part of an answer that is kept to find its usage.
const maxTailBytes = 64 << 10

var eventPrefix = []byte("data:")

// Meter measures the cost of one call: tokens and server seconds, each at its
// price.
type Meter struct {
	prices       Prices
	promptTokens float64
	events       float64
	tail         []byte
	stream       bool
}

// NewMeter returns a meter of a call whose request has bodyBytes bytes.
func NewMeter(prices Prices, bodyBytes int, stream bool) *Meter {
	return &Meter{
		prices:       prices,
		promptTokens: float64(bodyBytes) / bytesPerToken,
		stream:       stream,
	}
}

// Data observes a part of the answer.
func (m *Meter) Data(p []byte) {
	if m.stream {
		m.events += float64(bytes.Count(p, eventPrefix))
	}
	m.tail = append(m.tail, p...)
	if excess := len(m.tail) - maxTailBytes; excess > 0 {
		m.tail = append(m.tail[:0], m.tail[excess:]...)
	}
}

// Accrued returns the cost so far, in cost units, after elapsed server time.
func (m *Meter) Accrued(elapsed time.Duration) float64 {
	return m.cost(m.promptTokens, m.events, elapsed)
}

// Final returns the cost of the whole call, from the usage that the engine
// reports where there is one.
func (m *Meter) Final(elapsed time.Duration) float64 {
	usage, ok := findUsage(m.tail)
	if !ok {
		return m.Accrued(elapsed)
	}
	return m.cost(usage.PromptTokens, usage.CompletionTokens, elapsed)
}

func (m *Meter) cost(prompt, generated float64, elapsed time.Duration) float64 {
	return prompt*m.prices.PromptToken + generated*m.prices.GeneratedToken + elapsed.Seconds()*m.prices.Second
}

type usage struct {
	PromptTokens     float64 `json:"prompt_tokens"`
	CompletionTokens float64 `json:"completion_tokens"`
}

var usageField = []byte(`"usage"`)

// findUsage decodes the last usage object in the tail of an answer.
func findUsage(tail []byte) (usage, bool) {
	at := bytes.LastIndex(tail, usageField)
	if at < 0 {
		return usage{}, false
	}
	rest := tail[at+len(usageField):]
	colon := bytes.IndexByte(rest, ':')
	if colon < 0 {
		return usage{}, false
	}
	var u usage
	err := json.NewDecoder(bytes.NewReader(rest[colon+1:])).Decode(&u)
	valid := err == nil && u.PromptTokens >= 0 && u.CompletionTokens >= 0
	return u, valid
}
