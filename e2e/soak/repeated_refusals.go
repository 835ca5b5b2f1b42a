package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// refusedPermille is the share of requests, in thousandths, that a plain server refuses while
// it repeats refusals. It leaves most connections in use for requests that run.
const refusedPermille = 300

// refusalRepeater repeats each refusal on a connection once, at the point where the next answer
// is expected. It is safe for concurrent use.
type refusalRepeater struct {
	mu sync.Mutex
	// refusal are the bytes of the refusal to repeat; empty for none.
	refusal []byte
	// beforeRun repeats it when the next request arrives, and not with its answer.
	beforeRun bool
}

// isRefusal reports whether the bytes that are written to a connection are the answer to a
// request that was not run.
func isRefusal(p []byte) bool {
	return bytes.HasPrefix(p, []byte("HTTP/1.1 503 ")) && bytes.Contains(p, []byte("\r\n"+headerNotRun+":"))
}

// remember keeps a refusal that was written.
func (r *refusalRepeater) remember(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusal, r.beforeRun = bytes.Clone(p), rand.IntN(2) == 0
}

// due returns the refusal to repeat when a request has arrived or its answer is written.
func (r *refusalRepeater) due(arrived bool) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if arrived && !r.beforeRun {
		return nil
	}
	refusal := r.refusal
	r.refusal = nil
	return refusal
}

// refuse answers that a request was not run.
func (p *plainServer) refuse(w http.ResponseWriter) {
	w.Header().Set(headerNotRun, "full")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// repeatRefusals lets plain servers refuse requests, and repeat these refusals, for some time.
func (env *Environment) repeatRefusals(ctx context.Context, duration time.Duration) {
	for _, p := range env.PlainServers {
		p.refusedPermille.Store(refusedPermille)
	}
	sleep(ctx, duration)
	for _, p := range env.PlainServers {
		p.refusedPermille.Store(0)
	}
}
