package peer

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// TestHelloWithOverLongNamesIsRefused guards against identifiers that every counter, log line
// and set of routers would then carry.
func TestHelloWithOverLongNamesIsRefused(t *testing.T) {
	for name, change := range map[string]func(*peerpb.Hello){
		"id":             func(h *peerpb.Hello) { h.Id = overLong },
		"region":         func(h *peerpb.Hello) { h.Region = overLong },
		"failure domain": func(h *peerpb.Hello) { h.FailureDomain = overLong },
		"unknown role":   func(h *peerpb.Hello) { h.Role = 17 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			remote := newLocal("a", ProtocolVersion)
			change(remote.Hello)
			_, _, _, err := handshakePair(t, remote, newLocal("b", ProtocolVersion))
			g.Expect(err).To(MatchError(ErrHandshake))
		})
	}
}

// TestUnsoundValuesOfAHelloAreNotReported guards against an election of aggregators that
// differs between routers or always falls on a corrupted one, and against dials of what is no
// address.
func TestUnsoundValuesOfAHelloAreNotReported(t *testing.T) {
	for name, processors := range map[string]float32{
		"no number": float32(math.NaN()), "infinite": float32(math.Inf(1)), "negative": -1, "huge": math.MaxFloat32,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			remote := newLocal("a", ProtocolVersion)
			remote.Hello.Processors, remote.Hello.PeerAddress = processors, "nowhere"
			_, accepted, dialErr, err := handshakePair(t, remote, newLocal("b", ProtocolVersion))
			g.Expect(dialErr).NotTo(HaveOccurred())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(accepted.Processors()).To(BeZero())
			g.Expect(accepted.Address()).To(BeEmpty())
		})
	}
}
