package upstream_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/upstream"
)

// TestUnmarkedRefusalBesideOtherResponsesProvesNothing guards against a refusal without an id
// that is one of several responses for one request: the upstream sends extra ones, so the
// request may be running.
func TestUnmarkedRefusalBesideOtherResponsesProvesNothing(t *testing.T) {
	for name, answer := range map[string]string{
		"after a response to an earlier request":  okResponse("1", "own") + refusal,
		"after a response to no request":          okResponse("other", "own") + refusal,
		"after a response without an id":          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + refusal,
		"twice":                                   refusal + refusal,
		"before bytes that are no response":       refusal + "garbage",
		"before a response to an earlier request": refusal + okResponse("1", "own"),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startScripted(t, ownAnswer, sends(answer))
			p := newPool(t, s.address)
			g.Expect(roundTrip(p, "1")).To(Equal("own"))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := p.Do(ctx, newUnmarkedRequest("2"))
			g.Expect(err).To(MatchError(upstream.ErrInterrupted))
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the outcome is known at once to be unknown")
		})
	}
}

// TestOwnResponseBehindAnUnmarkedRefusalIsTaken guards against a refusal without an id that
// hides the response to the request, which has arrived with it.
func TestOwnResponseBehindAnUnmarkedRefusalIsTaken(t *testing.T) {
	for name, extra := range map[string]string{
		"without a body": refusal,
		"with a body":    "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 4\r\n\r\nfull",
		"in chunks":      "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startScripted(t, ownAnswer, func(id string) string { return extra + okResponse(id, "own") })
			p := newPool(t, s.address)
			g.Expect(roundTrip(p, "1")).To(Equal("own"))
			g.Expect(statusOf(p, newUnmarkedRequest("2"))).To(Equal(http.StatusOK))
		})
	}
}

// TestConnectionWithExtraResponsesIsNotReused guards against a refusal without an id that is
// accepted on a connection whose upstream has sent extra responses before.
func TestConnectionWithExtraResponsesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := startScripted(t, ownAnswer, func(id string) string { return okResponse("1", "again") + okResponse(id, "own") }, sends(refusal))
	p := newPool(t, s.address)
	for _, id := range []string{"1", "2", "3"} {
		g.Expect(statusOf(p, newUnmarkedRequest(id))).To(Equal(http.StatusOK), id)
	}
	g.Expect(s.connections.Load()).To(BeEquivalentTo(2))
}
