package faultproxy_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"fulmarspindle.example/fulmarspindle/e2e/faultproxy"
)

const ioTimeout = 5 * time.Second

func TestFaultproxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}

// startEchoServer starts a TCP echo server that stops when the spec ends, and
// returns its address.
func startEchoServer() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

var _ = Describe("a link", func() {
	var link *faultproxy.Link

	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
		var err error
		link, err = faultproxy.NewLink("127.0.0.1:0", startEchoServer())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
	})

	dial := func() *net.TCPConn {
		conn, err := net.DialTimeout("tcp", link.Address(), ioTimeout)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Expect(conn.SetDeadline(time.Now().Add(ioTimeout))).To(Succeed())
		return conn.(*net.TCPConn)
	}
	send := func(conn net.Conn, text string) {
		_, err := conn.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func(conn net.Conn, text string) {
		buf := make([]byte, len(text))
		_, err := io.ReadFull(conn, buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buf)).To(Equal(text))
	}
	expectEcho := func(conn net.Conn, text string) {
		send(conn, text)
		receive(conn, text)
	}

	It("forwards data and EOF", func() {
		conn := dial()
		expectEcho(conn, "hello")
		Expect(conn.CloseWrite()).To(Succeed())
		rest, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(BeEmpty())
	})

	It("resets and refuses connections while it is cut, and heals on the same port", func() {
		conn := dial()
		expectEcho(conn, "hello")
		link.Cut()
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
		_, err = net.DialTimeout("tcp", link.Address(), ioTimeout)
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue())
		Expect(link.Heal()).To(Succeed())
		expectEcho(dial(), "again")
	})

	It("holds data and new connections while it is frozen", func() {
		conn := dial()
		expectEcho(conn, "hello")
		link.Freeze()
		send(conn, "held")
		fresh := dial()
		send(fresh, "fresh")
		Expect(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
		Expect(conn.SetReadDeadline(time.Now().Add(ioTimeout))).To(Succeed())
		Expect(link.Heal()).To(Succeed())
		receive(conn, "held")
		receive(fresh, "fresh")
	})

	It("silences only open connections, and keeps them open when either end closes", func() {
		conn := dial()
		expectEcho(conn, "hello")
		Expect(link.Silence()).To(Equal(1))
		send(conn, "lost")
		Expect(conn.CloseWrite()).To(Succeed())
		Expect(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue())
		expectEcho(dial(), "fresh")
	})

	It("delays each direction", func() {
		const delay = 40 * time.Millisecond
		conn := dial()
		expectEcho(conn, "hello")
		link.Delay(delay)
		begin := time.Now()
		expectEcho(conn, "slow")
		Expect(time.Since(begin)).To(BeNumerically(">=", 2*delay))
	})

	It("closes only the direction to the target on a half close", func() {
		conn := dial()
		expectEcho(conn, "hello")
		link.HalfClose()
		// The echo server closes its own direction once it reads EOF.
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("resets only open connections", func() {
		conn := dial()
		expectEcho(conn, "hello")
		link.Reset()
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
		expectEcho(dial(), "again")
	})

	It("cuts off only the given source", func() {
		connect := func(ip string) (net.Conn, error) {
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: ioTimeout}
			return dialer.Dial("tcp", link.Address())
		}
		dialFrom := func(ip string) *net.TCPConn {
			conn, err := connect(ip)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(conn.SetDeadline(time.Now().Add(ioTimeout))).To(Succeed())
			return conn.(*net.TCPConn)
		}
		first, second := dialFrom("127.0.0.2"), dialFrom("127.0.0.3")
		expectEcho(first, "hello")
		expectEcho(second, "hello")
		Expect(link.Sources()).To(Equal([]string{"127.0.0.2", "127.0.0.3"}))
		link.Cut("127.0.0.2")
		_, err := first.Read(make([]byte, 1))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
		// The reset may arrive during connect or at the first read.
		conn, err := connect("127.0.0.2")
		if err == nil {
			DeferCleanup(conn.Close)
			Expect(conn.SetDeadline(time.Now().Add(ioTimeout))).To(Succeed())
			_, err = conn.Read(make([]byte, 1))
		}
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
		expectEcho(second, "still")
		Expect(link.Heal("127.0.0.2")).To(Succeed())
		expectEcho(dialFrom("127.0.0.2"), "again")
	})

	It("closes while frozen with forwarded and waiting connections", func() {
		conn := dial()
		expectEcho(conn, "hello")
		link.Freeze()
		send(conn, "held")
		dial()
		link.Close()
		Expect(link.Connections()).To(BeZero())
	})
})
