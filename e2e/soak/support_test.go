package soak

import (
	"encoding/json"
	"net/http"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/gateway"
)

// gatewayState returns the state that a gateway reports, or the zero value while it
// can't be reached.
func (env *Environment) gatewayState(g *harness.Gateway) gateway.State {
	var state gateway.State
	resp, err := http.Get("http://" + g.MetricsAddress() + gateway.StatePath)
	if err != nil {
		return state
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return gateway.State{}
	}
	return state
}
