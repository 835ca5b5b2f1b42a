package router

import "sync"

// retryBudget is a token bucket that limits retries to a ratio of requests. It
// starts full and holds at most retryBurst retries.
type retryBudget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

// retryBurst is the capacity of the budget: the number of retries that may be
// spent at once.
const retryBurst = 10

func newRetryBudget(ratio float64) *retryBudget {
	return &retryBudget{ratio: ratio, tokens: retryBurst}
}

// deposit adds the fraction of a retry that one request earns.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, retryBurst)
}

// withdraw spends one retry and reports whether one was available.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
