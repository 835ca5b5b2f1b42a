package peer

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against closing sessions to healthy peers because this process was paused, or its
// clock stepped, while their messages were waiting to be read.
func TestLivenessMonitorCountsChecksNotTime(t *testing.T) {
	g := NewWithT(t)
	var s livenessMonitor
	g.Expect(s.check(1)).To(BeFalse())
	// A pause of any length counts as one missed check. The messages are read after it.
	g.Expect(s.check(1)).To(BeFalse())
	g.Expect(s.check(9)).To(BeFalse())
	for range maxMissedChecks {
		g.Expect(s.check(9)).To(BeFalse())
	}
	g.Expect(s.check(9)).To(BeTrue(), "no message for the heartbeat timeout")
	g.Expect(s.check(10)).To(BeFalse(), "a new message resets the count")
}
