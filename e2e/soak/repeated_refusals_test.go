package soak

import (
	"testing"

	. "github.com/onsi/gomega"
)

const testRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n"

// Guards against a fault that repeats nothing, an answer of a run, or a refusal more than once.
func TestRefusalIsRepeatedOnce(t *testing.T) {
	g := NewWithT(t)
	g.Expect(isRefusal([]byte(testRefusal))).To(BeTrue())
	g.Expect(isRefusal([]byte("HTTP/1.1 503 Service Unavailable\r\n\r\n"))).To(BeFalse())
	g.Expect(isRefusal([]byte("HTTP/1.1 200 OK\r\nNot-Run: full\r\n\r\n"))).To(BeFalse())
	points := map[bool]int{}
	for range 100 {
		var r refusalRepeater
		r.remember([]byte(testRefusal))
		atArrival, withAnswer := r.due(true), r.due(false)
		g.Expect(string(atArrival) + string(withAnswer)).To(Equal(testRefusal))
		g.Expect(r.due(true)).To(BeNil())
		points[atArrival != nil]++
	}
	g.Expect(points).To(HaveLen(2), "when the next request arrives, and with its answer")
}
