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

// generationWatcher polls the configuration generation of every process and fails
// the spec if the generation of a running process decreases.
type generationWatcher struct {
	f      *harness.Fleet
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// highest is the highest generation that each process has reported.
	highest map[*harness.Process]uint64
}

// pollInterval is the interval at which the generations are read.
const pollInterval = 50 * time.Millisecond

func newGenerationWatcher(f *harness.Fleet) *generationWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &generationWatcher{
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
			case <-time.After(pollInterval):
			}
		}
	})
	return w
}

func (w *generationWatcher) stop() {
	w.cancel()
	w.wg.Wait()
}

// generations returns the generation of every process that responds, by id.
func (w *generationWatcher) generations() map[string]uint64 {
	out := make(map[string]uint64)
	for _, r := range w.f.Routers {
		w.observe(out, string(r.ID), r.Process(), r.AdminURL())
	}
	for _, u := range w.f.Upstreams {
		w.observe(out, string(u.ID), u.Sidecar(), u.SidecarAdminURL())
	}
	return out
}

// observe reads the generation of one process and adds it to out.
func (w *generationWatcher) observe(out map[string]uint64, name string, p *harness.Process, url string) {
	// Reads run concurrently and may complete out of order. A read must return at
	// least the generation that had been observed before it was sent.
	known := w.highestObserved(p)
	generation, ok := w.read(url + "/debug/vars")
	if !ok {
		return
	}
	out[name] = generation
	Expect(generation).To(BeNumerically(">=", known), "generation of %s decreased", name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest[p] = max(w.highest[p], generation)
}

func (w *generationWatcher) highestObserved(p *harness.Process) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.highest[p]
}

func (w *generationWatcher) read(url string) (uint64, bool) {
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

// expectGeneration waits until every process has adopted the generation.
func (w *generationWatcher) expectGeneration(generation uint64, timeout time.Duration) {
	GinkgoHelper()
	processes := len(w.f.Routers) + len(w.f.Upstreams)
	Eventually(func(g Gomega) {
		generations := w.generations()
		g.Expect(generations).To(HaveLen(processes))
		for name, got := range generations {
			g.Expect(got).To(Equal(generation), name)
		}
	}).WithTimeout(timeout).WithPolling(pollInterval).Should(Succeed())
}
