package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order instructs an engine to load a model or an adapter or to change its role.
type Order struct {
	FencingToken uint64 `json:"fencing"`
	Kind         string `json:"kind"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
}

// OrderState is the response to GET /orders.
type OrderState struct {
	HighestFencingToken uint64 `json:"highest_fencing"`
	// Applied lists the orders in the sequence in which they took effect.
	Applied []Order `json:"applied"`
	// Stale counts orders that took effect although one with a higher fencing token
	// had started.
	Stale uint64 `json:"stale"`
	// Overlapping counts orders that started while another was running.
	Overlapping uint64 `json:"overlapping"`
	Refused     uint64 `json:"refused"`
}

// orderLog applies orders and, if checksFencing is set, rejects those with an
// outdated fencing token.
type orderLog struct {
	checksFencing bool

	mu      sync.Mutex
	running int
	state   OrderState
}

// begin starts an order and records its fencing token. It returns false if it
// rejects the order.
func (l *orderLog) begin(order Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.checksFencing && order.FencingToken < l.state.HighestFencingToken {
		l.state.Refused++
		return false
	}
	l.state.HighestFencingToken = max(l.state.HighestFencingToken, order.FencingToken)
	if l.running > 0 {
		l.state.Overlapping++
	}
	l.running++
	return true
}

// finish applies an order that begin accepted. With fencing checks, it rejects the
// order and returns false if one with a higher token has started since.
func (l *orderLog) finish(order Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if order.FencingToken < l.state.HighestFencingToken {
		if l.checksFencing {
			l.state.Refused++
			return false
		}
		l.state.Stale++
	}
	l.state.Applied = append(l.state.Applied, order)
	return true
}

func (l *orderLog) snapshot() OrderState {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.state
	state.Applied = append([]Order{}, l.state.Applied...)
	return state
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxControlBytes)
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var order Order
	if err := json.NewDecoder(body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.orders.begin(order) {
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	switches, _ := e.switches.get()
	// An order that has started runs to completion even if the client disconnects.
	_ = sleep(r.WithContext(detachedContext(r)), milliseconds(switches.OrderMs))
	if !e.orders.finish(order) {
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	writeJSON(w, http.StatusOK, order)
}

func (e *Engine) orderState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.orders.snapshot())
}
