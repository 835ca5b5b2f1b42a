package answers

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// attemptTimeout is the timeout of one request.
	attemptTimeout = 20 * time.Second
	// largeTokens makes a response of many frames that exceeds the buffer for
	// responses that are not streamed.
	largeTokens = 40000
	// Every largeEvery-th request has a large response.
	largeEvery = 50
)

// load is a closed-loop load generator that mixes chat and text completions,
// streamed and not, and verifies every response.
type load struct {
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	complete atomic.Int64
	// interrupted counts responses that were cut off or refused with a stated
	// outcome.
	interrupted atomic.Int64

	mu sync.Mutex
	// invalid describes the responses that are neither complete nor interrupted.
	invalid []string
}

func startLoad(ctx context.Context, f *harness.Fleet, workers int) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel}
	for _, router := range f.Routers {
		for _, team := range f.Inventory.Teams {
			for w := range workers {
				l.wg.Go(func() { l.run(ctx, f, router, team.ID, w) })
			}
		}
	}
	return l
}

func (l *load) run(ctx context.Context, f *harness.Fleet, router *harness.Router, team fleet.TeamID, w int) {
	client := f.Client(router, team)
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		req := newRequest(fmt.Sprintf("%s %s %d %d", router.ID, team, w, n), n)
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
		l.record(req, client.Complete(call, req, nil))
		cancel()
	}
}

// newRequest returns a request whose API, length and streaming depend on n.
func newRequest(prompt string, n int) standin.CompletionRequest {
	req := standin.CompletionRequest{
		Model:     string(harness.ModelService),
		Prompt:    prompt,
		MaxTokens: 1 + n%40,
		Stream:    n%2 == 0,
	}
	if n%3 == 0 {
		req.Prompt = ""
		req.Messages = []standin.Message{{Role: "user", Content: prompt}}
	}
	if n%largeEvery == largeEvery-1 {
		req.MaxTokens = largeTokens
		req.Stream = false
	}
	return req
}

// record classifies a response.
func (l *load) record(req standin.CompletionRequest, a harness.Response) {
	err := harness.VerifyCompletion(req, a)
	switch {
	case err == nil && a.Outcome == harness.OutcomeComplete:
		l.complete.Add(1)
		return
	case errors.Is(err, harness.ErrInterrupted):
		l.interrupted.Add(1)
		return
	case errors.Is(err, harness.ErrRefused) && a.Outcome != harness.OutcomeComplete && a.Outcome != "":
		l.interrupted.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.invalid = append(l.invalid, fmt.Sprintf("%.60s: status %d, outcome %q: %v", req.FullPrompt(), a.Status, a.Outcome, err))
}

// awaitComplete waits for count more complete responses.
func (l *load) awaitComplete(count int64) {
	GinkgoHelper()
	before := l.complete.Load()
	Eventually(l.complete.Load, specTimeout).Should(BeNumerically(">=", before+count))
}

// stop stops the load and fails the spec if any response was invalid.
func (l *load) stop() {
	GinkgoHelper()
	l.cancel()
	l.wg.Wait()
	GinkgoWriter.Printf("%d complete, %d cut off or refused, %d invalid\n", l.complete.Load(), l.interrupted.Load(), len(l.invalid))
	Expect(l.invalid).To(BeEmpty())
}
