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
	// maxCrashes is how many engines one request may take down.
	maxCrashes = 2
	// maxResends bounds how often an innocent caller sends a request.
	maxResends = 10
	// slots is the batch size of each engine.
	slots = 4
	// tokenMs is the engines' time for a token, in milliseconds.
	tokenMs = "3"
	// poisonTeam is the team that sends the crashing requests.
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
			EngineArgs: []string{"--token-interval-ms", tokenMs},
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

	poison := func(name string) standin.CompletionRequest {
		return standin.CompletionRequest{
			Model: string(harness.ModelService), Prompt: name + " " + standin.CrashMarker, MaxTokens: 4,
		}
	}
	send := func(router int, req standin.CompletionRequest) harness.Response {
		client := f.Client(f.Routers[router], poisonTeam)
		defer client.Close()
		return client.Complete(ctx, req, nil)
	}

	It("takes down at most two, and what ran beside it is answered", func() {
		load := startInnocents(ctx, f, 2)
		load.awaitBusy(ctx, f, 2)
		req := poison("first")
		for n := range len(f.Routers) {
			a := send(n, req)
			Expect(a.Status).To(BeElementOf(http.StatusUnprocessableEntity, http.StatusBadGateway), string(a.Body))
			Expect(a.Outcome).NotTo(Equal(harness.OutcomeComplete))
			if n > 0 {
				expectRefused(a)
			}
		}
		Expect(crashed(f)).To(BeNumerically("<=", maxCrashes))
		Expect(crashed(f)).To(BeNumerically(">", 0))
		startCrashed(ctx, f)
		for n := range len(f.Routers) {
			expectRefused(send(n, req))
			awaitListed(ctx, f.Routers[n])
		}
		load.stop()
		Expect(crashed(f)).To(BeZero())
	})

	restartEngines := func() {
		startCrashed(ctx, f)
		awaitConnected(ctx, f)
	}

	It("stays refused when every router is replaced", func() {
		req := poison("kept")
		send(0, req)
		restartEngines()
		for _, r := range f.Routers {
			awaitListed(ctx, r)
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
			awaitListed(ctx, r)
			expectRefused(send(n, req))
		}
		Expect(crashed(f)).To(BeZero())
	})

	It("takes down at most two while copies of it wait at other routers", func() {
		// Every slot runs a request of another team on an engine that hangs.
		for _, u := range f.Upstreams {
			Expect(u.Control.Set(ctx, map[string]any{"hang": true})).To(Succeed())
		}
		load := startInnocents(ctx, f, 3)
		load.awaitBusy(ctx, f, slots)
		answers := make(chan harness.Response, len(f.Routers))
		for n := range f.Routers {
			go func() { answers <- send(n, poison("copies")) }()
		}
		for _, u := range f.Upstreams {
			Expect(u.Control.Set(ctx, map[string]any{"hang": false})).To(Succeed())
			if crashed(f) < maxCrashes {
				Eventually(u.StandIn().Done(), specTimeout).Should(BeClosed())
			}
			if crashed(f) == maxCrashes {
				for _, r := range f.Routers {
					awaitListed(ctx, r)
				}
			}
		}
		for range f.Routers {
			var a harness.Response
			Eventually(answers, specTimeout).Should(Receive(&a))
			Expect(a.Status).To(Equal(http.StatusUnprocessableEntity), string(a.Body))
		}
		Expect(crashed(f)).To(Equal(maxCrashes))
		load.stop()
	})

	It("takes down at most two when its caller turns to the next router at once", func() {
		// Routers hear of each other late, as between regions.
		for _, r := range f.Routers {
			f.Links.Peer(r.VM.ID).Delay(100 * time.Millisecond)
		}
		clients := make([]*harness.Client, 0, len(f.Routers))
		for _, r := range f.Routers {
			client := f.Client(r, poisonTeam)
			DeferCleanup(client.Close)
			// The connection is there ahead of the resend.
			Expect(client.Do(ctx, http.MethodGet, "/", nil, nil).Err).NotTo(HaveOccurred())
			clients = append(clients, client)
		}
		for round := range 4 {
			req := poison(fmt.Sprint("round ", round))
			for n := range 2 * len(clients) {
				clients[(round+n)%len(clients)].Complete(ctx, req, nil)
			}
			Expect(crashed(f)).To(BeNumerically("<=", maxCrashes))
			restartEngines()
		}
	})
})

func expectRefused(a harness.Response) {
	GinkgoHelper()
	Expect(a.Status).To(Equal(http.StatusUnprocessableEntity), string(a.Body))
	Expect(a.Outcome).To(Equal(harness.OutcomeNotRun))
}

// crashed counts the engines that have ended.
func crashed(f *harness.Fleet) int {
	n := 0
	for _, u := range f.Upstreams {
		if !u.StandIn().Running() {
			n++
		}
	}
	return n
}

// startCrashed starts the engines that crashed. One that crashed just now may
// not have been seen to end yet, but it does not answer.
func startCrashed(ctx context.Context, f *harness.Fleet) {
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

// get reads a page of a router's admin API.
func get(ctx context.Context, r *harness.Router, path string, into any) error {
	data, err := operator.NewClient(r.AdminURL(), harness.AdminToken).Get(ctx, path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// awaitConnected waits until every router may use every upstream and knows the
// other routers.
func awaitConnected(ctx context.Context, f *harness.Fleet) {
	GinkgoHelper()
	for _, r := range f.Routers {
		Eventually(func(g Gomega) {
			var status operator.Status
			g.Expect(get(ctx, r, "/v1/status", &status)).To(Succeed())
			g.Expect(status.Routers).To(HaveLen(len(f.Routers) - 1))
			var upstreams []operator.Upstream
			g.Expect(get(ctx, r, "/v1/upstreams", &upstreams)).To(Succeed())
			for _, u := range upstreams {
				g.Expect(u.Accepting).To(BeTrue())
			}
		}, specTimeout).Should(Succeed())
	}
}

// awaitListed waits until a router's operators' page shows the one request
// that is refused.
func awaitListed(ctx context.Context, r *harness.Router) {
	GinkgoHelper()
	// The end of the spec's time must not hide what the list holds.
	ctx = context.WithoutCancel(ctx)
	Eventually(func(g Gomega) {
		var suspects []operator.Suspect
		g.Expect(get(ctx, r, "/v1/suspects", &suspects)).To(Succeed())
		refused := slices.DeleteFunc(suspects, func(s operator.Suspect) bool { return !s.Refused })
		g.Expect(refused).To(HaveLen(1), "%+v", refused)
		g.Expect(refused[0].Crashes).To(HaveLen(maxCrashes))
		g.Expect(refused[0].Team).To(Equal(poisonTeam))
	}, specTimeout).Should(Succeed())
}

// innocents is a load of the other teams that runs beside the crashing request.
type innocents struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	answered int
	resends  int
	failures []string
}

func startInnocents(ctx context.Context, f *harness.Fleet, workers int) *innocents {
	ctx, cancel := context.WithCancel(ctx)
	l := &innocents{cancel: cancel}
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

func (l *innocents) run(ctx context.Context, client *harness.Client, name string) {
	defer client.Close()
	for n := 0; ctx.Err() == nil; n++ {
		req := standin.CompletionRequest{
			Model: string(harness.ModelService), Prompt: fmt.Sprintf("%s %d", name, n), MaxTokens: 40, Stream: n%2 == 0,
		}
		l.answer(context.WithoutCancel(ctx), client, req)
	}
}

// answer sends a request until it is answered whole.
func (l *innocents) answer(ctx context.Context, client *harness.Client, req standin.CompletionRequest) {
	var last error
	for n := range maxResends {
		a := client.Complete(ctx, req, nil)
		last = harness.VerifyCompletion(req, a)
		if last == nil {
			l.record(n, "")
			return
		}
		if a.Status == http.StatusUnprocessableEntity {
			l.record(n, fmt.Sprintf("%s: refused as suspect: %s", req.Prompt, a.Body))
			return
		}
	}
	l.record(maxResends, fmt.Sprintf("%s: not answered: %v", req.Prompt, last))
}

func (l *innocents) record(resends int, failure string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resends += resends
	if failure != "" {
		l.failures = append(l.failures, failure)
		return
	}
	l.answered++
}

// awaitBusy waits until every engine runs so many requests.
func (l *innocents) awaitBusy(ctx context.Context, f *harness.Fleet, running int) {
	GinkgoHelper()
	for _, u := range f.Upstreams {
		Eventually(func(g Gomega) {
			counters, err := u.Control.EngineCounters(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(counters.Running).To(BeNumerically(">=", running))
		}, specTimeout).Should(Succeed())
	}
}

func (l *innocents) stop() {
	GinkgoHelper()
	l.cancel()
	l.wg.Wait()
	GinkgoWriter.Printf("%d innocent requests answered, %d resends\n", l.answered, l.resends)
	Expect(l.failures).To(BeEmpty())
}
