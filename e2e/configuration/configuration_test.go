package configuration

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	specTimeout = 90 * time.Second
	// adoptionTimeout is the time within which every process must adopt an
	// accepted configuration.
	adoptionTimeout = 3 * time.Second
	// recoveryTimeout is the time within which a process that restarted without
	// state, or was paused or cut off, must have the newest configuration.
	recoveryTimeout = 10 * time.Second
)

func TestConfiguration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

var _ = Describe("a configuration", func() {
	var (
		ctx     context.Context
		f       *harness.Fleet
		watcher *generationWatcher
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 3, Routers: 1, Engines: 2, Services: 1, Slots: 2, Teams: 4}
		var err error
		f, err = harness.NewFleet(ctx, shape.Inventory(), harness.Options{Proxied: true})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(f.LogTails())
			}
		})
		Expect(f.Start(ctx)).To(Succeed())
		watcher = newGenerationWatcher(f)
		DeferCleanup(watcher.stop)
		watcher.expectGeneration(1, adoptionTimeout)
	})

	// apply proposes the inventory with another team_waiting limit.
	apply := func(limit int, base string) (string, error) {
		inv := f.Inventory
		inv.Rules.Limits.TeamWaiting = limit
		path := writeInventory(f, inv)
		return f.Run(ctx, "config", "apply", "--admin", f.Routers[0].AdminURL(), "--token", harness.AdminToken, "--base", base, path)
	}

	It("is adopted by every process within adoptionTimeout", func() {
		for i := range 5 {
			Expect(apply(100+i, "-1")).To(ContainSubstring("accepted"))
			watcher.expectGeneration(uint64(i+2), adoptionTimeout)
		}
	})

	It("is accepted from exactly one of several concurrent operators", func() {
		const operators = 6
		var wg sync.WaitGroup
		errs := make([]error, operators)
		for i := range operators {
			wg.Go(func() { _, errs[i] = apply(200+i, "1") })
		}
		wg.Wait()
		accepted := 0
		for _, err := range errs {
			if err == nil {
				accepted++
				continue
			}
			Expect(err.Error()).To(ContainSubstring("conflicting change"))
			Expect(err.Error()).To(ContainSubstring("limits"))
		}
		Expect(accepted).To(Equal(1))
		watcher.expectGeneration(2, adoptionTimeout)
	})

	It("is accepted once when the platform's response is lost", func() {
		Expect(f.Platform.Set(ctx, map[string]any{"lose_answers": 1, "lose_answers_prefix": "spindle-config/head"})).To(Succeed())
		Expect(apply(300, "-1")).To(ContainSubstring("accepted: generation 2"))
		watcher.expectGeneration(2, adoptionTimeout)
	})

	It("is refused when malformed or oversized, and changes nothing", func() {
		invalid := filepath.Join(f.Dir(), "bad.yaml")
		Expect(os.WriteFile(invalid, []byte("regions:\n  - id: r\n    failure_domain: [d]\n"), 0o600)).To(Succeed())
		_, err := f.Run(ctx, "config", "apply", "--admin", f.Routers[0].AdminURL(), "--token", harness.AdminToken, invalid)
		Expect(err).To(MatchError(ContainSubstring("exit status 2")))
		Expect(err).To(MatchError(ContainSubstring(":3")))
		Expect(err).To(MatchError(ContainSubstring("failure_domain")))
		oversized := filepath.Join(f.Dir(), "huge.yaml")
		Expect(os.WriteFile(oversized, []byte("regions:\n"+strings.Repeat("# padding\n", 1<<19)), 0o600)).To(Succeed())
		_, err = f.Run(ctx, "config", "check", oversized)
		Expect(err).To(MatchError(ContainSubstring("too large")))
		watcher.expectGeneration(1, adoptionTimeout)
	})

	It("reaches routers that restart without state while the platform is down", func() {
		Expect(apply(400, "-1")).To(ContainSubstring("generation 2"))
		watcher.expectGeneration(2, adoptionTimeout)
		Expect(f.Platform.Set(ctx, map[string]bool{"outage": true})).To(Succeed())
		for _, router := range f.Routers {
			router.Process().Kill()
			Expect(router.Process().Wait(ctx)).NotTo(Succeed())
		}
		for _, router := range f.Routers {
			Expect(f.StartRouter(ctx, router)).To(Succeed())
		}
		watcher.expectGeneration(2, recoveryTimeout)
		client := f.Client(f.Routers[1], "team-1")
		DeferCleanup(client.Close)
		req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: "outage", MaxTokens: 3}
		Expect(harness.VerifyCompletion(req, client.Complete(ctx, req, nil))).To(Succeed())
	})

	It("never reverts on a router that was paused or cut off", func() {
		paused, cut := f.Routers[1], f.Routers[2]
		paused.Process().Pause()
		Expect(f.Links.CutVM(cut.VM.ID)).To(Succeed())
		f.Links.Platform(cut.ID).Cut()
		Expect(apply(500, "-1")).To(ContainSubstring("generation 2"))
		Expect(apply(501, "-1")).To(ContainSubstring("generation 3"))
		paused.Process().Resume()
		Expect(f.Links.Heal()).To(Succeed())
		watcher.expectGeneration(3, recoveryTimeout)
	})
})

func writeInventory(f *harness.Fleet, inv config.Inventory) string {
	GinkgoHelper()
	data, err := yaml.Marshal(inv)
	Expect(err).NotTo(HaveOccurred())
	file, err := os.CreateTemp(f.Dir(), "inventory-*.yaml")
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	_, err = file.Write(data)
	Expect(err).NotTo(HaveOccurred())
	return file.Name()
}
