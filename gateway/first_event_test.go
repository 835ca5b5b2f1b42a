package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// TestBytesThatAreNoEventDoNotCountAsTheFirstOne guards against an upstream that seems fast, and
// a team that is charged, because of bytes that are no event.
func TestBytesThatAreNoEventDoNotCountAsTheFirstOne(t *testing.T) {
	for name, inserted := range map[string]string{"unsound": "garbage\n\n", "a comment, then unsound": ": x\n\ngarbage\n\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			core, logs := observer.New(zap.InfoLevel)
			engine := startServer(t, "e1", "engines", streamOf(1, 3, 1, inserted, true))
			n := startGateway(t, "g1", storeOf(definition(1), engine), func(o *gateway.Options) { o.Log = zap.New(core) })
			awaitReady(t, n)
			_, _, err := send(n, http.MethodPost, "/stream/", "prompt")
			_ = err // A comment begins the response, so that only its end can tell.
			g.Eventually(func() int { return logs.FilterMessage("attempt ended").Len() }, eventuallyTimeout).Should(Equal(1))
			g.Expect(logs.FilterMessage("attempt ended").All()[0].ContextMap()).To(HaveKeyWithValue("first", time.Duration(0)))
		})
	}
}

// TestConnectionThatEndsBeforeTheFirstEventIsNoWholeStream guards against a crashed upstream whose
// response is delimited by the end of the connection and looks whole because of an empty line
// or a comment.
func TestConnectionThatEndsBeforeTheFirstEventIsNoWholeStream(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "an empty line": "\n", "a comment": ":\n\n"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := startGatewayWith(t, startServer(t, "e1", "engines", writeRaw(signedHead+streamType+"\r\n"+body, true)))
			resp, got, err := send(n, http.MethodPost, "/stream/", "prompt")
			g.Expect(err != nil || resp.StatusCode == http.StatusBadGateway).To(BeTrue(), "whole at the caller: %q", got)
		})
	}
}
