package configuration

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// watcher reads every process's generation all the time and fails the spec if
// one falls within the life of a process.
type watcher struct {
	f      *harness.Fleet
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	highest map[*harness.Process]uint64
}

const watchInterval = 50 * time.Millisecond

func newWatcher(f *harness.Fleet) *watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{
		f:       f,
		client:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		cancel:  cancel,
		highest: make(map[*harness.Process]uint64),
	}
	w.wg.Go(func() {
		defer GinkgoRecover()
		for ctx.Err() == nil {
			w.generations()
			select {
			case <-ctx.Done():
			case <-time.After(watchInterval):
			}
		}
	})
	return w
}

func (w *watcher) stop() {
	w.cancel()
	w.wg.Wait()
}

// generations returns the generation of every process that answers.
func (w *watcher) generations() map[string]uint64 {
	out := make(map[string]uint64)
	for _, r := range w.f.Routers {
		w.observe(out, string(r.ID), r.Process(), r.AdminURL())
	}
	for _, u := range w.f.Upstreams {
		w.observe(out, string(u.ID), u.Sidecar(), u.SidecarAdminURL())
	}
	return out
}

func (w *watcher) observe(out map[string]uint64, name string, p *harness.Process, url string) {
	// Reads overlap, and an older answer may arrive last. A read must return at
	// least what had been observed before it was sent.
	known := w.highestOf(p)
	generation, ok := w.read(url + "/debug/vars")
	if !ok {
		return
	}
	out[name] = generation
	Expect(generation).To(BeNumerically(">=", known), "generation of %s fell", name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[p] = max(w.highest[p], generation)
}

func (w *watcher) highestOf(p *harness.Process) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest[p]
}

func (w *watcher) read(url string) (uint64, bool) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	req.Header.Set("Authorization", "Bearer "+harness.AdminToken)
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var vars struct {
		Generation uint64 `json:"config_generation"`
	}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return 0, false
	}
	return vars.Generation, true
}

// expectInForce waits until every process holds the generation.
func (w *watcher) expectInForce(generation uint64, bound time.Duration) {
	GinkgoHelper()
	processes := len(w.f.Routers) + len(w.f.Upstreams)
	Eventually(func(g Gomega) {
		held := w.generations()
		g.Expect(held).To(HaveLen(processes))
		for name, got := range held {
			g.Expect(got).To(Equal(generation), name)
		}
	}).WithTimeout(bound).WithPolling(watchInterval).Should(Succeed())
}
