package upstream

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

func longEvent(bytes int) string { return "data: " + strings.Repeat("x", bytes) + "\n\n" }

// Guards against long events that are lost or mixed up because one stream at a time has room for
// one.
func TestLongEventsOfManyStreamsAreWhole(t *testing.T) {
	const streams = 16
	for name, parts := range map[string][]string{
		"at the limit of short ones": {longEvent(maxShortEventBytes), tokens(1, 3), longEvent(maxShortEventBytes + streamReadBytes), doneEvent},
		"of a megabyte":              {tokens(1, 3), longEvent(1 << 20), tokens(4, 5), longEvent(1 << 20), longEvent(1 << 20), doneEvent},
		"of nearly the limit":        {tokens(1, 3), longEvent(maxEventBytes - 64), doneEvent},
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, streaming(parts...))
			var calls sync.WaitGroup
			for range streams {
				calls.Go(func() {
					got := &recordingSink{}
					if err := client.Do(t.Context(), postCall("x"), got); err != nil {
						t.Error(err)
					}
					if got.body.String() != strings.Join(parts, "") {
						t.Errorf("got %d bytes", got.body.Len())
					}
				})
			}
			calls.Wait()
		})
	}
}

// Guards against a stream that waits for room beyond the end of its call.
func TestStreamThatWaitsForRoomEndsWithItsCall(t *testing.T) {
	g := NewWithT(t)
	buffer := <-longEventBuffer
	defer func() { longEventBuffer <- buffer }()
	begun := make(chan struct{})
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, tokens(1, 1)+strings.TrimSpace(longEvent(4*maxShortEventBytes)))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	result := make(chan error, 1)
	go func() {
		result <- client.Do(ctx, postCall("x"), &recordingSink{onData: func() { close(begun) }})
	}()
	<-begun
	cancel()
	g.Eventually(result, "20s").Should(Receive(MatchError(ErrInterrupted)))
}
