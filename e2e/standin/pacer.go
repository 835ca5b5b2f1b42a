package standin

import (
	"net/http"
	"time"
)

// generation paces one running request.
type requestPacer struct {
	engine  *Engine
	request *http.Request
	// next is when the next step is due. It doesn't drift with the timers.
	due    time.Time
	tokens int
}

// prefill waits for the time to the first token.
func (p *requestPacer) prefill(prompt string) error {
	cached := p.engine.cache.access(prompt, time.Now())
	switches, _ := p.engine.switches.get()
	tokens := CountPromptTokens(prompt[cached:])
	return p.advance(switches.PrefillMsPer1k * float64(tokens) / 1000)
}

// token waits for one output token.
func (p *requestPacer) token() error {
	switches, _ := p.engine.switches.get()
	if err := p.advance(switches.TokenIntervalMs); err != nil {
		return err
	}
	p.cutConnectionOnce()
	p.tokens++
	p.engine.batch.countToken()
	return nil
}

// step waits for ms at the engine's present speed, and while it hangs.
func (p *requestPacer) advance(ms float64) error {
	hung, err := p.waitWhileHung()
	if err != nil {
		return err
	}
	if hung {
		p.due = time.Now()
	}
	switches, _ := p.engine.switches.get()
	if switches.Slow > 0 {
		ms *= switches.Slow
	}
	p.due = p.due.Add(milliseconds(ms))
	if err := sleep(p.request, time.Until(p.due)); err != nil {
		return err
	}
	_, err = p.waitWhileHung()
	return err
}

// stall waits while the engine hangs and reports whether it did.
func (p *requestPacer) waitWhileHung() (bool, error) {
	hung := false
	for {
		switches, changed := p.engine.switches.get()
		if !switches.Hang {
			return hung, nil
		}
		hung = true
		select {
		case <-changed:
		case <-p.request.Context().Done():
			return hung, p.request.Context().Err()
		}
	}
}

// dieOnce cuts the connection if it is the one that is to be cut.
func (p *requestPacer) cutConnectionOnce() {
	cut := p.engine.switches.update(func(s *EngineSwitches) bool {
		if s.CutAfterTokens <= 0 || p.tokens < s.CutAfterTokens {
			return false
		}
		s.CutAfterTokens = 0
		return true
	})
	if cut {
		abortConnection()
	}
}
