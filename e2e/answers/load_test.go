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
	// attemptTimeout bounds one request of the load.
	attemptTimeout = 20 * time.Second
	// largeTokens makes an answer of many frames, longer than what is held
	// back of an answer that is not streamed.
	largeTokens = 40000
	// largeEvery is how often a request has a large answer.
	largeEvery = 50
)

// load sends requests of all kinds in a closed loop and checks every answer.
type load struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	whole  atomic.Int64
	broken atomic.Int64

	mu sync.Mutex
	// wrong lists the answers that are neither whole nor visibly broken.
	wrong []string
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
		req := requestOf(fmt.Sprintf("%s %s %d %d", router.ID, team, w, n), n)
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
		l.judge(req, client.Complete(call, req, nil))
		cancel()
	}
}

// requestOf returns a request of a kind that depends on n.
func requestOf(prompt string, n int) standin.CompletionRequest {
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

// judge counts an answer and notes it if it is wrong.
func (l *load) judge(req standin.CompletionRequest, a harness.Response) {
	err := harness.VerifyCompletion(req, a)
	switch {
	case err == nil && a.Outcome == harness.OutcomeComplete:
		l.whole.Add(1)
		return
	case errors.Is(err, harness.ErrInterrupted):
		l.broken.Add(1)
		return
	case errors.Is(err, harness.ErrRefused) && a.Outcome != harness.OutcomeComplete && a.Outcome != "":
		l.broken.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, fmt.Sprintf("%.60s: status %d, outcome %q: %v", req.FullPrompt(), a.Status, a.Outcome, err))
}

// awaitWhole waits until so many more requests were answered whole.
func (l *load) awaitWhole(more int64) {
	GinkgoHelper()
	from := l.whole.Load()
	Eventually(l.whole.Load, specTimeout).Should(BeNumerically(">=", from+more))
}

// stop ends the load and fails if any answer was wrong.
func (l *load) stop() {
	GinkgoHelper()
	l.cancel()
	l.wg.Wait()
	GinkgoWriter.Printf("%d whole, %d visibly broken or refused, %d wrong\n", l.whole.Load(), l.broken.Load(), len(l.wrong))
	Expect(l.wrong).To(BeEmpty())
}
