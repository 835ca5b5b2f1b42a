package router

import "sync"

// retryBudget bounds retries to a ratio of requests. It holds at most a burst
// of unused retries.
type retryBudget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

// retryBurst is the count of retries that may follow each other at once.
const retryBurst = 10

func newRetryBudget(ratio float64) *retryBudget {
	return &retryBudget{ratio: ratio, tokens: retryBurst}
}

// request earns a part of a retry.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, retryBurst)
}

// take spends one retry, if there is one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
