package standin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Order asks an engine to load a model or an adapter or to change its role.
type Order struct {
	FencingToken uint64 `json:"fencing"`
	Kind         string `json:"kind"`
	Model        string `json:"model,omitempty"`
	Adapter      string `json:"adapter,omitempty"`
	Role         string `json:"role,omitempty"`
}

// OrderState is the answer of GET /orders.
type OrderState struct {
	HighestFencingToken uint64 `json:"highest_fencing"`
	// Applied holds the orders in the sequence in which they took effect.
	Applied []Order `json:"applied"`
	// Stale counts orders that took effect after one of a higher number.
	Stale uint64 `json:"stale"`
	// Overlapping counts orders that started while another one ran.
	Overlapping uint64 `json:"overlapping"`
	Refused     uint64 `json:"refused"`
}

// orderLog applies orders, and checks their fencing numbers if told to.
type orderLog struct {
	checksFencing bool

	mu      sync.Mutex
	running int
	state   OrderState
}

// begin admits an order. The number counts from here on.
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

// finish makes an admitted order take effect, unless a newer one came in
// between and the numbers are checked.
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
	// An order that has begun runs to its end, also when its sender goes away.
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
