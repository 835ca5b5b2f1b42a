package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// seed makes the sequence of costs of every caller reproducible.
	seed = 20260704
	// callerBackoff is the delay of a caller after its request failed.
	callerBackoff = 50 * time.Millisecond
	// maxPromptTokens bounds the prompts that callers send.
	maxPromptTokens = 16
	// Token prices of the inventory that harness.Topology makes.
	promptTokenPrice    = 0.1
	generatedTokenPrice = 1.0
)

// loadGenerator runs the callers of one scenario.
type loadGenerator struct {
	scenario Scenario
	teams    []fleet.TeamID
	// routers are the base URLs of the routers.
	routers []string
	meter   *meter
	client  *http.Client
	wg      sync.WaitGroup
}

// start starts all callers; they stop when ctx ends.
func (l *loadGenerator) start(ctx context.Context) {
	for team := range l.teams {
		if l.scenario.isLight(team) {
			l.wg.Go(func() { l.runOpenLoop(ctx, team) })
			continue
		}
		for n := range l.scenario.Callers(team) {
			l.wg.Go(func() { l.runClosedLoop(ctx, team, n) })
		}
	}
}

// wait returns once all callers have stopped.
func (l *loadGenerator) wait() {
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

// runClosedLoop sends each request after the previous one has ended.
func (l *loadGenerator) runClosedLoop(ctx context.Context, team, n int) {
	c := l.caller(team, n)
	for ctx.Err() == nil {
		if err := c.send(ctx); err != nil {
			sleep(ctx, callerBackoff)
		}
	}
}

// runOpenLoop sends one request per second, regardless of their results.
func (l *loadGenerator) runOpenLoop(ctx context.Context, team int) {
	ticker := time.NewTicker(lightInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c := l.caller(team, n)
			l.wg.Go(func() { _ = c.send(ctx) })
		}
	}
}

// caller is one caller of a team.
type caller struct {
	load       *loadGenerator
	team       int
	n          int
	homeRouter int
	sent       int
	rng        *rand.Rand
}

func (l *loadGenerator) caller(team, n int) *caller {
	homeRouter := (team + n) % len(l.routers)
	if router, pinned := l.scenario.homeRouter(team); pinned {
		homeRouter = router % len(l.routers)
	}
	return &caller{
		load:       l,
		team:       team,
		n:          n,
		homeRouter: homeRouter,
		rng:        rand.New(rand.NewPCG(seed, uint64(team)<<32|uint64(n))),
	}
}

// send sends one request to the caller's home router, and to the next one if that
// fails, as the platform's load balancer would.
func (c *caller) send(ctx context.Context) error {
	body := c.newRequest()
	m := c.load.meter
	id := m.requestSent(c.team)
	streaming := false
	prompt := float64(standin.CountPromptTokens(body.Prompt)) * promptTokenPrice
	onToken := func() {
		if !streaming {
			streaming = true
			m.firstToken(c.team, id, prompt)
		}
		m.addServed(c.team, generatedTokenPrice)
	}
	err := c.tryRouters(ctx, body, onToken, &streaming)
	m.requestEnded(c.team, id, err)
	return err
}

func (c *caller) tryRouters(ctx context.Context, body standin.CompletionRequest, onToken func(), streaming *bool) error {
	var err error
	for i := range c.load.routers {
		request := streamRequest{
			url:     c.load.routers[(c.homeRouter+i)%len(c.load.routers)],
			key:     harness.TeamKey(c.load.teams[c.team]),
			body:    body,
			onToken: onToken,
		}
		err = request.send(ctx, c.load.client)
		if err == nil || *streaming || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *caller) newRequest() standin.CompletionRequest {
	c.sent++
	tokens := c.load.scenario.Tokens(c.rng)
	return standin.CompletionRequest{
		Model:        string(harness.ModelService),
		Prompt:       fmt.Sprintf("%s caller %d asks %d", c.load.teams[c.team], c.n, c.sent),
		MaxTokens:    c.load.scenario.maxTokensHint(c.rng, tokens),
		OutputTokens: tokens,
		Stream:       true,
	}
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
