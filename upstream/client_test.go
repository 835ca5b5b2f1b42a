package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	testIdle = 50 * time.Millisecond
	longIdle = time.Minute
)

// answer is a Sink that keeps the answer.
type answer struct {
	status int
	body   bytes.Buffer
	onData func()
}

func (a *answer) Head(status int, _ http.Header) error {
	a.status = status
	return nil
}

func (a *answer) Data(p []byte) error {
	a.body.Write(p)
	if a.onData != nil {
		a.onData()
	}
	return nil
}

func serve(t *testing.T, h http.HandlerFunc) *Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The end of the connection is seen only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		h(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return NewClient(server.URL, "/health")
}

func post(idempotent bool, body string) *Call {
	return &Call{
		Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}},
		Body: []byte(body), Idempotent: idempotent, IdleTimeout: longIdle,
	}
}

func abortAnswer(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestNotSentIsToldFromBroken(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	refused := NewClient("http://"+ln.Addr().String(), "/health")
	ln.Close()
	g.Expect(refused.Do(t.Context(), post(false, "x"), &answer{})).To(MatchError(ErrNotSent))
	g.Expect(refused.CheckHealth(t.Context())).To(MatchError(ErrInterrupted))

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	sound := serve(t, func(http.ResponseWriter, *http.Request) {})
	g.Expect(sound.Do(canceled, post(false, "x"), &answer{})).To(MatchError(ErrNotSent))

	noAnswer := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	g.Expect(noAnswer.Do(t.Context(), post(false, "x"), &answer{})).To(MatchError(ErrInterrupted))

	got := &answer{}
	g.Expect(serve(t, abortAnswer).Do(t.Context(), post(false, "x"), got)).To(MatchError(ErrInterrupted))
	g.Expect(got.body.String()).To(Equal("half"))
}

// A server that closes a kept-alive connection as the second request comes
// makes the transport send a request again that it takes for idempotent.
func TestNonIdempotentPostIsNeverSentTwice(t *testing.T) {
	for _, body := range []string{"", "x"} {
		g := NewWithT(t)
		var first atomic.Bool
		var received atomic.Int64
		client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			if received.Add(1) > 1 && first.CompareAndSwap(false, true) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					conn.Close()
				}
			}
		})
		// Leaves a connection that could be reused.
		g.Expect(client.Do(t.Context(), post(false, body), &answer{})).To(Succeed())
		g.Expect(client.Do(t.Context(), post(false, body), &answer{})).To(MatchError(ErrInterrupted))
		g.Expect(received.Load()).To(Equal(int64(2)))
	}
}

func TestIdleTimeout(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	hangs := serve(t, func(w http.ResponseWriter, r *http.Request) {
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
		call := post(true, "x")
		call.Path = path
		call.IdleTimeout = testIdle
		g.Expect(hangs.Do(t.Context(), call, &answer{})).To(MatchError(ErrIdle))
	}
}

func TestIdleTimeoutDoesNotCountTheSink(t *testing.T) {
	g := NewWithT(t)
	hangs := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	taken := make(chan struct{})
	two := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-taken
		_, _ = io.WriteString(w, "second")
	})
	call := post(true, "x")
	call.IdleTimeout = testIdle
	got := &answer{}
	got.onData = func() {
		if got.body.String() != "first " {
			return
		}
		// Takes the idle timeout and more.
		g.Expect(hangs.Do(t.Context(), call, &answer{})).To(MatchError(ErrIdle))
		close(taken)
	}
	g.Expect(two.Do(t.Context(), call, got)).To(Succeed())
	g.Expect(got.body.String()).To(Equal("first second"))
}

func TestSinkErrorEndsTheCall(t *testing.T) {
	g := NewWithT(t)
	gone := errors.New("gone")
	left := make(chan struct{})
	client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "data")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(left)
	})
	g.Expect(client.Do(t.Context(), post(true, "x"), failing{gone})).To(MatchError(gone))
	g.Eventually(left).Should(BeClosed())
}

type failing struct{ err error }

func (f failing) Head(int, http.Header) error { return nil }

func (f failing) Data([]byte) error { return f.err }

func TestResumeMustBeConfirmed(t *testing.T) {
	for resumedAt, want := range map[string]error{"7": nil, "": ErrInterrupted, "6": ErrInterrupted} {
		g := NewWithT(t)
		client := serve(t, func(w http.ResponseWriter, r *http.Request) {
			g.Expect(r.Header.Get(HeaderResumeOffset)).To(Equal("7"))
			w.Header().Set(HeaderResumedAt, resumedAt)
		})
		call := post(true, "x")
		call.ResumeOffset = 7
		err := client.Do(t.Context(), call, &answer{})
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
		{"usage of a whole answer", false, []string{`{"usage":{"prompt_tokens":10,`, `"completion_tokens":4}}`}, 10*0.5 + 4*2 + 10},
		{"usage of a stream", true, []string{"data: {}\n\n", `data: {"usage": {"prompt_tokens":2,"completion_tokens":1}}`}, 2*0.5 + 2 + 10},
		{"no usage of a stream", true, []string{"data: 1\n\n", "data: 2\n\n"}, 3*0.5 + 2*2 + 10},
		{"no usage", false, []string{"data: ", "text"}, 3*0.5 + 10},
		{"bad usage", false, []string{`{"usage":{"prompt_tokens":-1}}`}, 3*0.5 + 10},
		{"a cut usage", false, []string{`{"usage":{"prompt`}, 3*0.5 + 10},
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
