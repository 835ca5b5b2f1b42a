package partition

import (
	"context"
	"encoding/json"
	"net/http"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// inFlight returns the number of dispatched requests of a router, or 0 if it does
// not respond.
func inFlight(ctx context.Context, r *harness.Router) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.AdminURL()+"/debug/vars", nil)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+harness.AdminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var vars struct {
		Dispatched int `json:"router_dispatched"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return 0
	}
	return vars.Dispatched
}
