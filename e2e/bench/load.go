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
	// seed fixes the sequence of costs of every caller.
	seed = 20260704
	// callerBackoff is the wait after every router has failed a caller.
	callerBackoff = 50 * time.Millisecond
	// maxPromptTokens bounds the prompts that callers send.
	maxPromptTokens = 16
	// Prices of tokens in the inventory of harness.Shape.
	promptTokenPrice    = 0.1
	generatedTokenPrice = 1.0
)

// load is the callers of one run.
type load struct {
	scenario Scenario
	teams    []fleet.TeamID
	// routers are the base URLs of the routers.
	routers []string
	meter   *meter
	client  *http.Client
	wg      sync.WaitGroup
}

// start starts all callers; they end with ctx.
func (l *load) start(ctx context.Context) {
	for team := range l.teams {
		if l.scenario.light(team) {
			l.wg.Go(func() { l.runLight(ctx, team) })
			continue
		}
		for n := range l.scenario.Callers(team) {
			l.wg.Go(func() { l.runClosed(ctx, team, n) })
		}
	}
}

// wait waits until all callers have ended.
func (l *load) wait() {
	l.wg.Wait()
	l.client.CloseIdleConnections()
}

// runClosed sends one request after another.
func (l *load) runClosed(ctx context.Context, team, n int) {
	c := l.caller(team, n)
	for ctx.Err() == nil {
		if err := c.send(ctx); err != nil {
			pause(ctx, callerBackoff)
		}
	}
}

// runLight sends one request a second, whatever becomes of them.
func (l *load) runLight(ctx context.Context, team int) {
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
	load *load
	team int
	n    int
	home int
	sent int
	rng  *rand.Rand
}

func (l *load) caller(team, n int) *caller {
	home := (team + n) % len(l.routers)
	if router, pinned := l.scenario.home(team); pinned {
		home = router % len(l.routers)
	}
	return &caller{
		load: l,
		team: team,
		n:    n,
		home: home,
		rng:  rand.New(rand.NewPCG(seed, uint64(team)<<32|uint64(n))),
	}
}

// send sends one request to the caller's own router, or to the next one if that
// fails, as the platform's balancer would.
func (c *caller) send(ctx context.Context) error {
	body := c.request()
	m := c.load.meter
	id := m.begin(c.team)
	started := false
	prompt := float64(standin.CountPromptTokens(body.Prompt)) * promptTokenPrice
	token := func() {
		if !started {
			started = true
			m.first(c.team, id, prompt)
		}
		m.serve(c.team, generatedTokenPrice)
	}
	err := c.try(ctx, body, token, &started)
	m.end(c.team, id, err)
	return err
}

func (c *caller) try(ctx context.Context, body standin.CompletionRequest, token func(), started *bool) error {
	var err error
	for i := range c.load.routers {
		request := streamRequest{
			url:   c.load.routers[(c.home+i)%len(c.load.routers)],
			key:   harness.TeamKey(c.load.teams[c.team]),
			body:  body,
			token: token,
		}
		err = request.send(ctx, c.load.client)
		if err == nil || *started || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (c *caller) request() standin.CompletionRequest {
	c.sent++
	tokens := c.load.scenario.Tokens(c.rng)
	return standin.CompletionRequest{
		Model:        string(harness.ModelService),
		Prompt:       fmt.Sprintf("%s caller %d asks %d", c.load.teams[c.team], c.n, c.sent),
		MaxTokens:    c.load.scenario.hint(c.rng, tokens),
		OutputTokens: tokens,
		Stream:       true,
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
