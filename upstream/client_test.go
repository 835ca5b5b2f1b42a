package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	shortIdle = 50 * time.Millisecond
	longIdle  = time.Minute
)

// recordingSink is a Sink that records the response.
type recordingSink struct {
	status int
	body   bytes.Buffer
	onData func()
}

func (s *recordingSink) Head(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *recordingSink) Data(p []byte) error {
	s.body.Write(p)
	if s.onData != nil {
		s.onData()
	}
	return nil
}

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after the request body has
		// been read.
		_, _ = io.Copy(io.Discard, r.Body)
		h(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return NewClient(server.URL, "/health")
}

func postCall(body string) *Call {
	return &Call{
		Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}},
		Body: []byte(body), IdleTimeout: longIdle,
	}
}

func abortResponse(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestErrorTellsWhetherTheRequestWasSent(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	refused := NewClient("http://"+ln.Addr().String(), "/health")
	ln.Close()
	g.Expect(refused.Do(t.Context(), postCall("x"), &recordingSink{})).To(MatchError(ErrNotSent))
	g.Expect(refused.CheckHealth(t.Context())).To(MatchError(ErrInterrupted))

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	reachable := newTestClient(t, func(http.ResponseWriter, *http.Request) {})
	g.Expect(reachable.Do(canceled, postCall("x"), &recordingSink{})).To(MatchError(ErrNotSent))

	noResponse := newTestClient(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	g.Expect(noResponse.Do(t.Context(), postCall("x"), &recordingSink{})).To(MatchError(ErrInterrupted))

	got := &recordingSink{}
	g.Expect(newTestClient(t, abortResponse).Do(t.Context(), postCall("x"), got)).To(MatchError(ErrInterrupted))
	g.Expect(got.body.String()).To(Equal("half"))
}

// TestNonIdempotentPostIsNeverSentTwice guards against retries by the HTTP transport.
// If the server closes a reused connection when the second request arrives, the
// transport resends a request that it considers idempotent.
func TestNonIdempotentPostIsNeverSentTwice(t *testing.T) {
	for _, body := range []string{"", "x"} {
		g := NewWithT(t)
		var first atomic.Bool
		var received atomic.Int64
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			if received.Add(1) > 1 && first.CompareAndSwap(false, true) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					conn.Close()
				}
			}
		})
		// The first call may leave a connection that could be reused.
		g.Expect(client.Do(t.Context(), postCall(body), &recordingSink{})).To(Succeed())
		g.Expect(client.Do(t.Context(), postCall(body), &recordingSink{})).To(MatchError(ErrInterrupted))
		g.Expect(received.Load()).To(Equal(int64(2)))
	}
}

func TestIdleTimeout(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	hanging := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/head" {
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	for _, path := range []string{"/", "/head"} {
		call := postCall("x")
		call.Path = path
		call.IdleTimeout = shortIdle
		g.Expect(hanging.Do(t.Context(), call, &recordingSink{})).To(MatchError(ErrIdle))
	}
}

func TestIdleTimeoutExcludesTheSink(t *testing.T) {
	g := NewWithT(t)
	hanging := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	proceed := make(chan struct{})
	twoParts := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_, _ = io.WriteString(w, "second")
	})
	call := postCall("x")
	call.IdleTimeout = shortIdle
	got := &recordingSink{}
	got.onData = func() {
		if got.body.String() != "first " {
			return
		}
		// This call blocks the sink for at least the idle timeout.
		g.Expect(hanging.Do(t.Context(), call, &recordingSink{})).To(MatchError(ErrIdle))
		close(proceed)
	}
	g.Expect(twoParts.Do(t.Context(), call, got)).To(Succeed())
	g.Expect(got.body.String()).To(Equal("first second"))
}

func TestSinkErrorCancelsTheCall(t *testing.T) {
	g := NewWithT(t)
	sinkErr := errors.New("sink failed")
	disconnected := make(chan struct{})
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(disconnected)
	})
	g.Expect(client.Do(t.Context(), postCall("x"), failingSink{sinkErr})).To(MatchError(sinkErr))
	g.Eventually(disconnected).Should(BeClosed())
}

type failingSink struct{ err error }

func (f failingSink) Head(int, http.Header) error { return nil }

func (f failingSink) Data([]byte) error { return f.err }

func TestResumeMustBeConfirmed(t *testing.T) {
	for resumedAt, want := range map[string]error{"7": nil, "": ErrInterrupted, "6": ErrInterrupted} {
		g := NewWithT(t)
		client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
			g.Expect(r.Header.Get(HeaderResumeOffset)).To(Equal("7"))
			w.Header().Set(HeaderResumedAt, resumedAt)
		})
		call := postCall("x")
		call.ResumeOffset = 7
		err := client.Do(t.Context(), call, &recordingSink{})
		if want == nil {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		g.Expect(err).To(MatchError(want))
	}
}

func TestMeter(t *testing.T) {
	prices := Prices{PromptToken: 0.5, GeneratedToken: 2, Second: 10}
	cases := []struct {
		name   string
		stream bool
		parts  []string
		want   float64
	}{
		{"usage of an unstreamed response", false, []string{`{"usage":{"prompt_tokens":10,`, `"completion_tokens":4}}`}, 10*0.5 + 4*2 + 10},
		{"usage of a stream", true, []string{"data: {}\n\n", `data: {"usage": {"prompt_tokens":2,"completion_tokens":1}}`}, 2*0.5 + 2 + 10},
		{"stream without usage", true, []string{"data: 1\n\n", "data: 2\n\n"}, 3*0.5 + 2*2 + 10},
		{"response without usage", false, []string{"data: ", "text"}, 3*0.5 + 10},
		{"negative usage", false, []string{`{"usage":{"prompt_tokens":-1}}`}, 3*0.5 + 10},
		{"truncated usage", false, []string{`{"usage":{"prompt`}, 3*0.5 + 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMeter(prices, 3*bytesPerToken, c.stream)
			for _, p := range c.parts {
				m.Data([]byte(p))
			}
			NewWithT(t).Expect(m.Final(time.Second)).To(BeNumerically("~", c.want, 1e-9))
		})
	}
	m := NewMeter(prices, 0, false)
	m.Data(make([]byte, 3*maxTailBytes))
	NewWithT(t).Expect(len(m.tail)).To(Equal(maxTailBytes))
}

// Guards against calls to the wrong port where a URL names none, and to a server over TLS without
// its name.
func TestAddressOfAnUpstream(t *testing.T) {
	g := NewWithT(t)
	for raw, want := range map[string]string{
		"http://h.example": "h.example:80", "https://h.example/a": "h.example:443", "http://[::1]:8080": "[::1]:8080", "https://h.example:1": "h.example:1",
	} {
		target, err := url.Parse(raw)
		g.Expect(err).NotTo(HaveOccurred())
		address, options := addressOf(target)
		g.Expect(address).To(Equal(want))
		g.Expect(options.TLS != nil).To(Equal(target.Scheme == "https"))
		if options.TLS != nil {
			g.Expect(options.TLS.ServerName).To(Equal("h.example"))
		}
	}
}
