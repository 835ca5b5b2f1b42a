package upstream

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a process that takes its own pause for an upstream that can't be
// reached, and leaves out all of them.
func TestTimeoutThatIsNoticedLateSaysNothingOfTheUpstream(t *testing.T) {
	g := NewWithT(t)
	const timeout = 400 * time.Millisecond
	g.Expect(late(time.Millisecond, timeout)).To(BeFalse(), "refused at once")
	g.Expect(late(timeout+20*time.Millisecond, timeout)).To(BeFalse())
	g.Expect(late(2*time.Second, timeout)).To(BeTrue(), "paused")
}
