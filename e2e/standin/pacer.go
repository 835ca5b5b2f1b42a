package standin

import (
	"net/http"
	"time"
)

// requestPacer delays the output of one running request to the engine's speed.
type requestPacer struct {
	engine  *Engine
	request *http.Request
	// due is the time of the next step. It advances by whole steps, so that late
	// timers do not accumulate drift.
	due    time.Time
	tokens int
}

// prefill waits for the prefill time of the part of the prompt that is not cached.
func (p *requestPacer) prefill(prompt string) error {
	cached := p.engine.cache.access(prompt, time.Now())
	switches, _ := p.engine.switches.get()
	tokens := CountPromptTokens(prompt[cached:])
	return p.advance(switches.PrefillMsPer1k * float64(tokens) / 1000)
}

// token waits for the interval of one output token and counts the token.
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

// advance waits for ms milliseconds, scaled by the engine's current speed, and for
// as long as the engine hangs.
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

// waitWhileHung blocks while the engine hangs and reports whether it hung.
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

// cutConnectionOnce aborts the connection if this request is the first to reach
// CutAfterTokens, and resets that switch.
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
