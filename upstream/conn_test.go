package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLateDialTimeoutIsNotBlamedOnTheUpstream guards against a process that resumes
// after a pause, takes its expired dial timeouts for unreachable upstreams and ejects
// all of them.
func TestLateDialTimeoutIsNotBlamedOnTheUpstream(t *testing.T) {
	g := NewWithT(t)
	const timeout = 400 * time.Millisecond
	g.Expect(timeoutNoticedLate(time.Millisecond, timeout)).To(BeFalse(), "refused immediately")
	g.Expect(timeoutNoticedLate(timeout+20*time.Millisecond, timeout)).To(BeFalse())
	g.Expect(timeoutNoticedLate(2*time.Second, timeout)).To(BeTrue(), "paused")
}

// TestConnectionIsKeptIfTheResponsePrecedesTheWriteResult guards against connections
// that are closed instead of reused because the response was read before the writer of
// the request reported its result.
func TestConnectionIsKeptIfTheResponsePrecedesTheWriteResult(t *testing.T) {
	g := NewWithT(t)
	local, remote := net.Pipe()
	defer remote.Close()
	p := NewPool("", PoolOptions{IdleTimeout: time.Minute})
	x := &Exchange{
		Response: &http.Response{}, pool: p, conn: newConn(local),
		smallBody: true, bodyRead: true, stopCloseOnCancel: func() bool { return true },
	}
	x.conn.BeginRequest()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		x.Close()
	}()
	x.conn.EndRequest(nil)
	g.Eventually(closed).Should(BeClosed())
	g.Expect(p.takeIdle()).NotTo(BeNil())
}
