package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestPartNamesThatAreNoTextReachOtherGateways guards against sessions between gateways that
// close whenever they carry the name of a prompt part that is not valid UTF-8: callers choose
// the names.
func TestPartNamesThatAreNoTextReachOtherGateways(t *testing.T) {
	for name, part := range map[string]string{
		"invalid UTF-8":                   "bad\xff",
		"cut within a character":          "bad" + strings.Repeat("x", 60) + "\u00e9",
		"cut within a character, invalid": "bad" + strings.Repeat("\xe2\x82", 40),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := startCrashingEngines(t, 12)
			nodes := startConnected(t, 2, e.store)
			i := 0
			g.Eventually(func() int {
				i++
				return sendPrompt(nodes[0], fmt.Sprint("blame-", i), "system", part)
			}, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
			g.Eventually(func() int { return len(nodes[1].State().BlamedParts) }, eventuallyTimeout).Should(Equal(1))
			g.Expect(nodes[0].State().Routers).To(HaveLen(1), "the session is still open")
		})
	}
}
