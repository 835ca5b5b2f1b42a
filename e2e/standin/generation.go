package standin

import (
	"net/http"
	"time"
)

// generation paces one running request.
type generation struct {
	engine  *Engine
	request *http.Request
	// next is when the next step is due. It doesn't drift with the timers.
	next   time.Time
	tokens int
}

// prefill waits for the time to the first token.
func (g *generation) prefill(prompt string) error {
	cached := g.engine.cache.use(prompt, time.Now())
	switches, _ := g.engine.switches.get()
	tokens := PromptTokens(prompt[cached:])
	return g.step(switches.PrefillMsPer1k * float64(tokens) / 1000)
}

// token waits for one output token.
func (g *generation) token() error {
	switches, _ := g.engine.switches.get()
	if err := g.step(switches.TokenIntervalMs); err != nil {
		return err
	}
	g.dieOnce()
	g.tokens++
	g.engine.batch.countToken()
	return nil
}

// step waits for ms at the engine's present speed, and while it hangs.
func (g *generation) step(ms float64) error {
	stalled, err := g.stall()
	if err != nil {
		return err
	}
	if stalled {
		g.next = time.Now()
	}
	switches, _ := g.engine.switches.get()
	if switches.Slow > 0 {
		ms *= switches.Slow
	}
	g.next = g.next.Add(milliseconds(ms))
	if err := wait(g.request, time.Until(g.next)); err != nil {
		return err
	}
	_, err = g.stall()
	return err
}

// stall waits while the engine hangs and reports whether it did.
func (g *generation) stall() (bool, error) {
	stalled := false
	for {
		switches, changed := g.engine.switches.get()
		if !switches.Hang {
			return stalled, nil
		}
		stalled = true
		select {
		case <-changed:
		case <-g.request.Context().Done():
			return stalled, g.request.Context().Err()
		}
	}
}

// dieOnce cuts the connection if it is the one that is to be cut.
func (g *generation) dieOnce() {
	dies := g.engine.switches.update(func(s *EngineSwitches) bool {
		if s.DieAfterTokens <= 0 || g.tokens < s.DieAfterTokens {
			return false
		}
		s.DieAfterTokens = 0
		return true
	})
	if dies {
		abort()
	}
}
