package upstream_test

import (
	"net/http"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// newUnmarkedRequest returns a request whose response may lack its id if it did not run.
func newUnmarkedRequest(id string) *upstream.Request {
	r := newRequest(id)
	attribute := r.Attribute
	r.Attribute = func(status int, h http.Header) exchange.Attribution {
		if h.Get("Id") == "" && h.Get("Unrun") != "" {
			return exchange.Unmarked
		}
		return attribute(status, h)
	}
	return r
}
