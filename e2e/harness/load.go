package harness

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// requestTimeout bounds one request of a load. No fault that the tests make
// lasts as long.
const requestTimeout = 30 * time.Second

// Load sends completions in a closed loop and checks every answer.
type Load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu              sync.Mutex
	completed       int
	refused         int
	unknownOutcomes int
	interrupted     int
	failures        []string
}

// LoadOptions describes a load.
type LoadOptions struct {
	Routers []*Router
	Teams   []fleet.TeamID
	// Workers is the count of requests in progress for each router and team.
	Workers   int
	MaxTokens int
	Stream    bool
}

// StartLoad starts a load that ends with Stop or ctx.
func (f *Fleet) StartLoad(ctx context.Context, o LoadOptions) *Load {
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{cancel: cancel}
	for _, router := range o.Routers {
		for _, team := range o.Teams {
			client := f.Client(router, team)
			for worker := range o.Workers {
				name := fmt.Sprintf("%s %s %d", router.ID, team, worker)
				l.wg.Go(func() { l.run(ctx, client, name, o) })
			}
		}
	}
	return l
}

func (l *Load) run(ctx context.Context, client *Client, name string, o LoadOptions) {
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		req := standin.CompletionRequest{
			Model:     string(ModelService),
			Prompt:    fmt.Sprintf("%s request %d", name, n),
			MaxTokens: o.MaxTokens,
			Stream:    o.Stream,
		}
		// A request is never cut by the end of the load.
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		response := client.Complete(requestCtx, req, nil)
		cancel()
		l.record(name, response, VerifyCompletion(req, response))
	}
}

// record counts an answer. A refusal that says "not run", one that says that the
// outcome is unknown, and an answer that visibly broke off are told apart from
// every other failure.
func (l *Load) record(name string, response Response, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.completed++
	case errors.Is(err, ErrRefused) && response.Outcome == OutcomeNotRun:
		l.refused++
	case errors.Is(err, ErrRefused) && response.Outcome == OutcomeUnknown:
		l.unknownOutcomes++
	case errors.Is(err, ErrInterrupted):
		l.interrupted++
	}
	if err != nil {
		l.failures = append(l.failures, name+": "+err.Error())
	}
}

// Refused returns the count of refusals that said "not run" so far.
func (l *Load) Refused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// Unknown returns the count of refusals that said that the outcome is unknown.
func (l *Load) UnknownOutcomes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unknownOutcomes
}

// Broken returns the count of answers that broke off or never began so far.
func (l *Load) Interrupted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interrupted
}

// Whole returns the count of whole answers so far.
func (l *Load) Completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}

// Failures describes every answer that was not whole so far.
func (l *Load) Failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.failures...)
}

// Stop ends the load once every request in progress has its answer.
func (l *Load) Stop() {
	l.cancel()
	l.wg.Wait()
}
