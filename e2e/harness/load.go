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

// requestTimeout limits one request of a load. It exceeds the duration of every
// fault that the tests inject.
const requestTimeout = 30 * time.Second

// Load sends completion requests in a closed loop and verifies every response.
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

// LoadOptions configures a Load.
type LoadOptions struct {
	Routers []*Router
	Teams   []fleet.TeamID
	// Workers is the number of concurrent requests per router and team.
	Workers   int
	MaxTokens int
	Stream    bool
}

// StartLoad starts a load that runs until Stop is called or ctx ends.
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
		// The end of the load does not cancel a request in progress.
		requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		response := client.Complete(requestCtx, req, nil)
		cancel()
		l.record(name, response, VerifyCompletion(req, response))
	}
}

// record counts a response. Every response that is not complete and correct is a
// failure; refusals with the outcome "not run" or "unknown" and interrupted responses
// are also counted by themselves.
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

// Refused returns the number of refusals with the outcome "not run" so far.
func (l *Load) Refused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// UnknownOutcomes returns the number of refusals with the outcome "unknown" so far.
func (l *Load) UnknownOutcomes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unknownOutcomes
}

// Interrupted returns the number of responses that were cut off or never arrived so
// far.
func (l *Load) Interrupted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interrupted
}

// Completed returns the number of complete and correct responses so far.
func (l *Load) Completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completed
}

// Failures returns a description of every response so far that was not complete and
// correct, refused and interrupted ones included.
func (l *Load) Failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.failures...)
}

// Stop ends the load and waits for the requests in progress.
func (l *Load) Stop() {
	l.cancel()
	l.wg.Wait()
}
