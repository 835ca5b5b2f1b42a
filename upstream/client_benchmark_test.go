package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkClient measures a call on loopback, which opens a connection of its own.
func BenchmarkClient(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	defer server.Close()
	client := NewClient(server.URL, "/health")
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Do(b.Context(), postCall("x"), &recordingSink{}); err != nil {
			b.Fatal(err)
		}
	}
}
