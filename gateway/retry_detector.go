package gateway

import (
	"sync"
	"time"
)

// minPriorWait is the smallest difference of deadlines that is taken for a retry;
// smaller ones are caused by the request's transit time.
const minPriorWait = 20 * time.Millisecond

// retryDetector detects callers that retry after a refusal. Such a caller sends only
// what is left of its deadline, so the deadline of a retry is shorter than the longest
// one seen on the route, which is taken for that of a first attempt.
type retryDetector struct {
	mu sync.Mutex
	// maxDeadline is the longest deadline seen, by route.
	maxDeadline map[string]time.Duration
}

func newRetryDetector() *retryDetector {
	return &retryDetector{maxDeadline: make(map[string]time.Duration)}
}

// priorWait returns how long the caller of a request with this deadline has already
// waited; zero if it has not, or if it sets no deadline.
func (d *retryDetector) priorWait(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.maxDeadline[route]
	if deadline >= longest {
		d.maxDeadline[route] = deadline
		return 0
	}
	if wait := longest - deadline; wait >= minPriorWait {
		return wait
	}
	return 0
}
