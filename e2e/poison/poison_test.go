package poison

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/operator"
)

const (
	specTimeout = 60 * time.Second
	// maxCrashes is the number of engines that one request may crash.
	maxCrashes = 2
	// maxAttempts bounds the attempts at one request of the background load.
	maxAttempts = 10
	// slots is the number of slots of each engine.
	slots = 4
	// tokenIntervalMs is the time in milliseconds that an engine takes for a token.
	tokenIntervalMs = "3"
	// poisonTeam sends the requests that crash engines.
	poisonTeam fleet.TeamID = "team-1"
)

func TestPoison(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poison")
}

var _ = Describe("a request that crashes its engine", func() {
	var (
		ctx context.Context
		f   *harness.Fleet
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 1, Routers: 3, Engines: 4, Slots: slots, Teams: 3}
		var err error
		f, err = harness.NewFleet(ctx, shape.Inventory(), harness.Options{
			Proxied:    true,
			EngineArgs: []string{"--token-interval-ms", tokenIntervalMs},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { f.Close() })
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(f.LogTails())
			}
		})
		Expect(f.Start(ctx)).To(Succeed())
		awaitConnected(ctx, f)
	})

	poisonRequest := func(name string) standin.CompletionRequest {
		return standin.CompletionRequest{
			Model: string(harness.ModelService), Prompt: name + " " + standin.CrashMarker, MaxTokens: 4,
		}
	}
	send := func(router int, req standin.CompletionRequest) harness.Response {
		client := f.Client(f.Routers[router], poisonTeam)
		defer client.Close()
		return client.Complete(ctx, req, nil)
	}

	It("crashes at most two engines, and concurrent requests are completed", func() {
		load := startBackgroundLoad(ctx, f, 2)
		load.awaitBusy(ctx, f, 2)
		req := poisonRequest("first")
		for n := range len(f.Routers) {
			a := send(n, req)
			Expect(a.Status).To(BeElementOf(http.StatusUnprocessableEntity, http.StatusBadGateway), string(a.Body))
			Expect(a.Outcome).NotTo(Equal(harness.OutcomeComplete))
			if n > 0 {
				expectRefused(a)
			}
		}
		Expect(crashedEngines(f)).To(BeNumerically("<=", maxCrashes))
		Expect(crashedEngines(f)).To(BeNumerically(">", 0))
		restartCrashed(ctx, f)
		for n := range len(f.Routers) {
			expectRefused(send(n, req))
			awaitSuspectListed(ctx, f.Routers[n])
		}
		load.stop()
		Expect(crashedEngines(f)).To(BeZero())
	})

	restartEngines := func() {
		restartCrashed(ctx, f)
		awaitConnected(ctx, f)
	}

	It("stays refused after all routers were restarted", func() {
		req := poisonRequest("kept")
		send(0, req)
		restartEngines()
		for _, r := range f.Routers {
			awaitSuspectListed(ctx, r)
		}
		Eventually(f.Platform.PlatformCounters, specTimeout).WithArguments(ctx).Should(HaveField("Put", BeNumerically(">", 0)))
		for _, r := range f.Routers {
			r.Process().Kill()
			_ = r.Process().Wait(ctx)
		}
		for _, r := range f.Routers {
			Expect(f.StartRouter(ctx, r)).To(Succeed())
		}
		Expect(f.AwaitReady(ctx)).To(Succeed())
		awaitConnected(ctx, f)
		for n, r := range f.Routers {
			awaitSuspectListed(ctx, r)
			expectRefused(send(n, req))
		}
		Expect(crashedEngines(f)).To(BeZero())
	})

	It("crashes at most two engines while copies of it wait at other routers", func() {
		// Requests of other teams occupy every slot, since the engines hang.
		for _, u := range f.Upstreams {
			Expect(u.Control.Set(ctx, map[string]any{"hang": true})).To(Succeed())
		}
		load := startBackgroundLoad(ctx, f, 3)
		load.awaitBusy(ctx, f, slots)
		answers := make(chan harness.Response, len(f.Routers))
		for n := range f.Routers {
			go func() { answers <- send(n, poisonRequest("copies")) }()
		}
		for _, u := range f.Upstreams {
			Expect(u.Control.Set(ctx, map[string]any{"hang": false})).To(Succeed())
			if crashedEngines(f) < maxCrashes {
				Eventually(u.StandIn().Done(), specTimeout).Should(BeClosed())
			}
			if crashedEngines(f) == maxCrashes {
				for _, r := range f.Routers {
					awaitSuspectListed(ctx, r)
				}
			}
		}
		for range f.Routers {
			var a harness.Response
			Eventually(answers, specTimeout).Should(Receive(&a))
			Expect(a.Status).To(Equal(http.StatusUnprocessableEntity), string(a.Body))
		}
		Expect(crashedEngines(f)).To(Equal(maxCrashes))
		load.stop()
	})

	It("crashes at most two engines when its caller retries at the next router immediately", func() {
		// Routers exchange updates with a latency as between regions.
		for _, r := range f.Routers {
			f.Links.Peer(r.VM.ID).Delay(100 * time.Millisecond)
		}
		clients := make([]*harness.Client, 0, len(f.Routers))
		for _, r := range f.Routers {
			client := f.Client(r, poisonTeam)
			DeferCleanup(client.Close)
			// Opens the connection, so that a retry needs no handshake.
			Expect(client.Do(ctx, http.MethodGet, "/", nil, nil).Err).NotTo(HaveOccurred())
			clients = append(clients, client)
		}
		for round := range 4 {
			req := poisonRequest(fmt.Sprint("round ", round))
			for n := range 2 * len(clients) {
				clients[(round+n)%len(clients)].Complete(ctx, req, nil)
			}
			Expect(crashedEngines(f)).To(BeNumerically("<=", maxCrashes))
			restartEngines()
		}
	})
})

func expectRefused(a harness.Response) {
	GinkgoHelper()
	Expect(a.Status).To(Equal(http.StatusUnprocessableEntity), string(a.Body))
	Expect(a.Outcome).To(Equal(harness.OutcomeNotRun))
}

// crashedEngines returns the number of engines whose process has exited.
func crashedEngines(f *harness.Fleet) int {
	n := 0
	for _, u := range f.Upstreams {
		if !u.StandIn().Running() {
			n++
		}
	}
	return n
}

// restartCrashed restarts the engines that crashed. The exit of an engine may not
// have been observed yet, so a failed health check also counts as a crash.
func restartCrashed(ctx context.Context, f *harness.Fleet) {
	GinkgoHelper()
	for _, u := range f.Upstreams {
		client := harness.NewClient(u.URL(), "")
		answer := client.Do(ctx, http.MethodGet, "/health", nil, nil)
		client.Close()
		if answer.Status == http.StatusOK {
			continue
		}
		Eventually(u.StandIn().Running, specTimeout).Should(BeFalse())
		Expect(f.StartUpstream(ctx, u)).To(Succeed())
	}
}

// getAdmin decodes a response of a router's admin API.
func getAdmin(ctx context.Context, r *harness.Router, path string, into any) error {
	data, err := operator.NewClient(r.AdminURL(), harness.AdminToken).Get(ctx, path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// awaitConnected waits until every router is connected to the other routers and
// lists every upstream as accepting.
func awaitConnected(ctx context.Context, f *harness.Fleet) {
	GinkgoHelper()
	for _, r := range f.Routers {
		Eventually(func(g Gomega) {
			var status operator.Status
			g.Expect(getAdmin(ctx, r, "/v1/status", &status)).To(Succeed())
			g.Expect(status.Routers).To(HaveLen(len(f.Routers) - 1))
			var upstreams []operator.Upstream
			g.Expect(getAdmin(ctx, r, "/v1/upstreams", &upstreams)).To(Succeed())
			for _, u := range upstreams {
				g.Expect(u.Accepting).To(BeTrue())
			}
		}, specTimeout).Should(Succeed())
	}
}

// awaitSuspectListed waits until the admin API of a router lists exactly one
// refused request, of poisonTeam and with maxCrashes crashes.
func awaitSuspectListed(ctx context.Context, r *harness.Router) {
	GinkgoHelper()
	// Without the spec's deadline, a failure shows the list instead of a context
	// error.
	ctx = context.WithoutCancel(ctx)
	Eventually(func(g Gomega) {
		var suspects []operator.Suspect
		g.Expect(getAdmin(ctx, r, "/v1/suspects", &suspects)).To(Succeed())
		refused := slices.DeleteFunc(suspects, func(s operator.Suspect) bool { return !s.Refused })
		g.Expect(refused).To(HaveLen(1), "%+v", refused)
		g.Expect(refused[0].Crashes).To(HaveLen(maxCrashes))
		g.Expect(refused[0].Team).To(Equal(poisonTeam))
	}, specTimeout).Should(Succeed())
}

// backgroundLoad sends requests of the other teams while engines crash.
type backgroundLoad struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	completed int
	retries   int
	failures  []string
}

func startBackgroundLoad(ctx context.Context, f *harness.Fleet, workers int) *backgroundLoad {
	ctx, cancel := context.WithCancel(ctx)
	l := &backgroundLoad{cancel: cancel}
	for _, router := range f.Routers {
		for _, team := range f.Inventory.Teams[1:] {
			for w := range workers {
				client := f.Client(router, team.ID)
				name := fmt.Sprintf("%s %s %d", router.ID, team.ID, w)
				l.wg.Go(func() { l.run(ctx, client, name) })
			}
		}
	}
	return l
}

func (l *backgroundLoad) run(ctx context.Context, client *harness.Client, name string) {
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		req := standin.CompletionRequest{
			Model: string(harness.ModelService), Prompt: fmt.Sprintf("%s %d", name, n), MaxTokens: 40, Stream: n%2 == 0,
		}
		l.send(context.WithoutCancel(ctx), client, req)
	}
}

// send sends a request until its response is complete, at most maxAttempts times. A
// refusal of the request as a suspect is a failure.
func (l *backgroundLoad) send(ctx context.Context, client *harness.Client, req standin.CompletionRequest) {
	var last error
	for n := range maxAttempts {
		a := client.Complete(ctx, req, nil)
		last = harness.VerifyCompletion(req, a)
		if last == nil {
			l.record(n, "")
			return
		}
		if a.Status == http.StatusUnprocessableEntity {
			l.record(n, fmt.Sprintf("%s: refused as a suspect: %s", req.Prompt, a.Body))
			return
		}
	}
	l.record(maxAttempts, fmt.Sprintf("%s: not completed: %v", req.Prompt, last))
}

// record counts the retries of a request, and the request as completed if failure is
// empty.
func (l *backgroundLoad) record(retries int, failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retries += retries
	if failure != "" {
		l.failures = append(l.failures, failure)
		return
	}
	l.completed++
}

// awaitBusy waits until every engine is running at least the given number of
// requests.
func (l *backgroundLoad) awaitBusy(ctx context.Context, f *harness.Fleet, running int) {
	GinkgoHelper()
	for _, u := range f.Upstreams {
		Eventually(func(g Gomega) {
			counters, err := u.Control.EngineCounters(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(counters.Running).To(BeNumerically(">=", running))
		}, specTimeout).Should(Succeed())
	}
}

// stop stops the load and fails the spec if a request was not completed.
func (l *backgroundLoad) stop() {
	GinkgoHelper()
	l.cancel()
	l.wg.Wait()
	GinkgoWriter.Printf("%d background requests completed, %d retries\n", l.completed, l.retries)
	Expect(l.failures).To(BeEmpty())
}
