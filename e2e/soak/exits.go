package soak

import (
	"fmt"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// exits tells the ends of processes that the test causes from those that it does not. The zero
// value is ready for use; it is safe for concurrent use.
type exits struct {
	mu       sync.Mutex
	expected map[*harness.Process]bool
}

// expect records that the test is about to end a process.
func (e *exits) expect(p *harness.Process) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.expected == nil {
		e.expected = make(map[*harness.Process]bool)
	}
	e.expected[p] = true
}

func (e *exits) isExpected(p *harness.Process) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expected[p]
}

// watchExits records a violation if the gateway's current process ends by itself.
func (env *Environment) watchExits(g *harness.Gateway) {
	p := g.Process
	go func() {
		<-p.Done()
		if !env.exits.isExpected(p) {
			env.Rules.report(fmt.Sprintf("%s ended by itself at %s", g.Name, time.Now().Format(timeLayout)))
		}
	}()
}
