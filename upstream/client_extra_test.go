package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// startRepeatingServer starts an upstream that answers each request with its number on the
// connection and repeats each answer, at once or before the next one on the connection. Its
// health check passes on the first request of all only. It returns its URL.
func startRepeatingServer(t *testing.T, late bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var requests atomic.Int64
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		copied := ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			n, status := requests.Add(1), http.StatusOK
			if n > 1 && r.URL.Path == "/health" {
				status = http.StatusServiceUnavailable
			}
			body := fmt.Sprint("answer ", n)
			answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
			if late {
				_, _ = io.WriteString(c, copied+answer)
				copied = answer
				continue
			}
			_, _ = io.WriteString(c, answer+answer)
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return "http://" + ln.Addr().String()
}

// TestRepeatedAnswerIsNotTakenForTheNext guards against an upstream that writes an answer
// twice: the transport takes the copy for the answer to the next request on the connection,
// and upstreams of a sidecar send nothing that tells them apart.
func TestRepeatedAnswerIsNotTakenForTheNext(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "late": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client := NewClient(startRepeatingServer(t, late), "/health")
			for n := 1; n <= 20; n++ {
				got := &recordingSink{}
				g.Expect(client.Do(t.Context(), postCall("x"), got)).To(Succeed())
				g.Expect(got.body.String()).To(Equal(fmt.Sprint("answer ", n)))
			}
		})
	}
}

// TestRepeatedAnswerDoesNotHideAFailedHealthCheck guards against a health check that passes
// because of a copy of an earlier answer.
func TestRepeatedAnswerDoesNotHideAFailedHealthCheck(t *testing.T) {
	g := NewWithT(t)
	client := NewClient(startRepeatingServer(t, true), "/health")
	g.Expect(client.CheckHealth(t.Context())).To(Succeed())
	g.Expect(client.CheckHealth(t.Context())).To(MatchError(ErrInterrupted))
}
