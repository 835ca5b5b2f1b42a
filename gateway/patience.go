package gateway

import (
	"sync"
	"time"
)

// minWaited is the least difference of deadlines that tells a caller that came
// back from one whose request took its time on the way.
const minWaited = 20 * time.Millisecond

// patience tells which callers came back after a refusal: those whose deadline is
// shorter than the longest one of their route, which is the callers' usual one.
type patience struct {
	mu sync.Mutex
	// longest is the longest deadline seen, by route.
	longest map[string]time.Duration
}

func newPatience() *patience {
	return &patience{longest: make(map[string]time.Duration)}
}

// waited returns how long the caller of a request with this deadline has waited
// before; zero if it has not, or does not say.
func (p *patience) waited(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := p.longest[route]
	if deadline >= longest {
		p.longest[route] = deadline
		return 0
	}
	if passed := longest - deadline; passed >= minWaited {
		return passed
	}
	return 0
}
