package upstream_test

import (
	"net/http"

	"fulmarspindle.example/fulmarspindle/upstream"
)

// newUnmarkedRequest returns a request whose response may lack its id if it did not run.
func newUnmarkedRequest(id string) *upstream.Request {
	r := newRequest(id)
	r.Matches = func(_ int, h http.Header) bool {
		return h.Get("Id") == id || h.Get("Id") == "" && h.Get("Not-Run") != ""
	}
	return r
}
