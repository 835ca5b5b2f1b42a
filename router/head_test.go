package router

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// TestHeadsWithoutAStatusAreRefused guards against a panic while a response is written: the
// HTTP server panics at a status that is none.
func TestHeadsWithoutAStatusAreRefused(t *testing.T) {
	for status, want := range map[int32]bool{
		200: true, 204: true, 404: true, 599: true, 999: true,
		0: false, -1: false, 99: false, 100: false, 101: false, 1000: false, 1 << 30: false,
	} {
		g := NewWithT(t)
		g.Expect(isFinalStatus(&peerpb.ResponseHead{Status: status})).To(Equal(want), "status %d", status)
		if want {
			g.Expect(func() { httptest.NewRecorder().WriteHeader(int(status)) }).NotTo(Panic())
		}
	}
}
