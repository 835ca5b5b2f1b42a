package gateway

import (
	"sync"
	"time"
)

// minPriorWait is the least difference of deadlines that tells a caller that came
// back from one whose request took its time on the way.
const minPriorWait = 20 * time.Millisecond

// retryDetector tells which callers came back after a refusal: those whose deadline is
// shorter than the longest one of their route, which is the callers' usual one.
type retryDetector struct {
	mu sync.Mutex
	// maxDeadline is the maxDeadline deadline seen, by route.
	maxDeadline map[string]time.Duration
}

func newRetryDetector() *retryDetector {
	return &retryDetector{maxDeadline: make(map[string]time.Duration)}
}

// priorWait returns how long the caller of a request with this deadline has priorWait
// before; zero if it has not, or does not say.
func (p *retryDetector) priorWait(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.maxDeadline[route]
	if deadline >= longest {
		p.maxDeadline[route] = deadline
		return 0
	}
	if passed := longest - deadline; passed >= minPriorWait {
		return passed
	}
	return 0
}
