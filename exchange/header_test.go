package exchange_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/exchange"
)

func TestEndToEnd(t *testing.T) {
	g := NewWithT(t)
	in := http.Header{
		"Connection": {"close, x-first", " X-Second"}, "X-First": {"1"}, "X-Second": {"2"},
		"Te": {"trailers"}, "Key": {"secret"}, "Accept": {"*/*"},
	}
	out := exchange.EndToEnd(in, []string{"Connection", "Te"}, []string{"Key"})
	g.Expect(out).To(Equal(http.Header{"Accept": {"*/*"}}))
	g.Expect(in).To(HaveKey("Key"))
}
