package upstream

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a process that takes its own pause for an upstream that can't be
// reached, and leaves out all of them.
func TestTimeoutThatIsNoticedLateSaysNothingOfTheUpstream(t *testing.T) {
	g := NewWithT(t)
	const timeout = 400 * time.Millisecond
	g.Expect(timeoutNoticedLate(time.Millisecond, timeout)).To(BeFalse(), "refused at once")
	g.Expect(timeoutNoticedLate(timeout+20*time.Millisecond, timeout)).To(BeFalse())
	g.Expect(timeoutNoticedLate(2*time.Second, timeout)).To(BeTrue(), "paused")
}

// Guards against connections that are thrown away as the answer was read before the
// writer of the request had its turn.
func TestConnectionIsKeptThoughTheAnswerIsFasterThanTheWriter(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	p := NewPool("", PoolOptions{IdleTimeout: time.Minute})
	x := &Exchange{
		Response: &http.Response{}, pool: p, conn: &conn{Conn: ours, reader: bufio.NewReader(ours)},
		writeDone: make(chan error, 1), smallBody: true, bodyRead: true, stopCloseOnCancel: func() bool { return true },
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		x.Close()
	}()
	x.writeDone <- nil
	g.Eventually(closed).Should(BeClosed())
	g.Expect(p.takeIdle()).NotTo(BeNil())
}
