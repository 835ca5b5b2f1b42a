package peer

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against sessions that end because this process was paused, or its clock
// stepped, while their peers' messages waited to be read.
func TestLivenessMonitorCountsChecksNotTime(t *testing.T) {
	g := NewWithT(t)
	var s livenessMonitor
	g.Expect(s.check(1)).To(BeFalse())
	// A pause of any length is one check; then the messages are read.
	g.Expect(s.check(1)).To(BeFalse())
	g.Expect(s.check(9)).To(BeFalse())
	for range maxMissedChecks {
		g.Expect(s.check(9)).To(BeFalse())
	}
	g.Expect(s.check(9)).To(BeTrue(), "no message for the heartbeat timeout")
	g.Expect(s.check(10)).To(BeFalse(), "it spoke again")
}
