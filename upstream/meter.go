package upstream

import (
	"bytes"
	"encoding/json"
	"time"
)

// Prices holds the prices of a service, in cost units per token and per second of
// server time.
type Prices struct {
	PromptToken    float64
	GeneratedToken float64
	Second         float64
}

// bytesPerToken is the number of bytes of a request body that are estimated as one
// prompt token until the engine reports the token counts.
const bytesPerToken = 4

// maxTailBytes limits the end of a response that is kept to find its usage object.
const maxTailBytes = 64 << 10

var eventPrefix = []byte("data:")

// Meter measures the cost of one call: prompt tokens, generated tokens and seconds of
// server time, each at its price.
type Meter struct {
	prices Prices
	// promptTokens is the estimated number of prompt tokens.
	promptTokens float64
	// events is the number of stream events so far. It estimates the generated tokens.
	events float64
	// tail is the end of the response, at most maxTailBytes.
	tail   []byte
	stream bool
}

// NewMeter returns a meter for a call whose request body has bodyBytes bytes.
func NewMeter(prices Prices, bodyBytes int, stream bool) *Meter {
	return &Meter{
		prices:       prices,
		promptTokens: float64(bodyBytes) / bytesPerToken,
		stream:       stream,
	}
}

// Data processes a part of the response body.
func (m *Meter) Data(p []byte) {
	if m.stream {
		m.events += float64(bytes.Count(p, eventPrefix))
	}
	m.tail = append(m.tail, p...)
	if excess := len(m.tail) - maxTailBytes; excess > 0 {
		m.tail = append(m.tail[:0], m.tail[excess:]...)
	}
}

// Accrued returns the cost so far, in cost units, after the elapsed server time.
func (m *Meter) Accrued(elapsed time.Duration) float64 {
	return m.cost(m.promptTokens, m.events, elapsed)
}

// Final returns the cost of the complete call. It uses the token counts that the
// engine reports, if any, instead of the estimate.
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

// findUsage decodes the last usage object in the tail of a response.
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
