package config_test

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// renderedTemplate returns the settings template of the deployment, rendered with sample
// values.
func renderedTemplate() string {
	GinkgoHelper()
	template, err := os.ReadFile("../deploy/gateway.yaml")
	Expect(err).NotTo(HaveOccurred())
	return render(string(template), nil)
}

var (
	// placeholder matches a placeholder of the template, such as {{region}}.
	placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)
	// optionalSection matches a section that is rendered only if its value is present.
	optionalSection = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
)

// render renders the template with sample values, overridden by extra ones.
func render(template string, extra map[string]string) string {
	values := map[string]string{
		"nodeName": "front-north-1", "region": "north", "zone": "north-a", "zones|json": `{"north-a":"north","south-a":"south"}`,
		"listen.front": "10.1.0.33:8783", "listen.readyAddress": "10.1.0.33:8780", "listen.control": "10.1.0.33:8785",
		"ip": "10.1.0.33", "portRange.0": "7400", "seeds|json": `["10.1.0.33:8785","10.2.0.18:8785"]`,
		"platform.address": "10.200.1.7:8781", "limits.maxFds": "4100", "limits.memoryMb": "284", "limits.cpuShare": "0.304",
		"bounds.graceS": "8", "bounds.configApplyMs": "2500", "bounds.drainMs": "2400", "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "52", "bounds.retryWindowS": "10",
		"bounds.quotaWindowS": "4",
	}
	maps.Copy(values, extra)
	template = optionalSection.ReplaceAllStringFunc(template, func(match string) string {
		parts := optionalSection.FindStringSubmatch(match)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(match string) string {
		return values[strings.Trim(match, "{}")]
	})
}

func load(text string) (config.GatewaySettings, error) {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return config.LoadGatewaySettings(path)
}

var _ = Describe("LoadGatewaySettings", func() {
	It("takes the bounds of evacuations and cold upstreams from deployments that have them", func() {
		template, err := os.ReadFile("../deploy/gateway.yaml")
		Expect(err).NotTo(HaveOccurred())
		settings, err := load(render(string(template), map[string]string{
			"bounds.evacuateMs": "5000", "bounds.coldOverage": "1.5", "bounds.coldSlack": "5",
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Platform.EvacuateWithin.Std()).To(Equal(5 * time.Second))
		Expect(settings.Admission.ColdOverage).To(Equal(1.5))
		Expect(settings.Admission.ColdSlack).To(Equal(5.0))
	})

	It("accepts the rendered template of the deployment", func() {
		settings, err := load(renderedTemplate())
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.ID).To(Equal(fleet.NodeID("front-north-1")))
		Expect(settings.Regions).To(HaveKeyWithValue(fleet.FailureDomainID("south-a"), fleet.RegionID("south")))
		Expect(settings.Peers).To(HaveLen(2))
		Expect(settings.Stop.Grace.Std()).To(Equal(8 * time.Second))
		Expect(settings.Platform.ApplyWithin.Std()).To(Equal(2500 * time.Millisecond))
		Expect(settings.Platform.DrainWithin.Std()).To(Equal(2400 * time.Millisecond))
		Expect(settings.Retry.Slack).To(Equal(52.0))
		Expect(settings.Admission.Window.Std()).To(Equal(4 * time.Second))
		Expect(settings.Platform.EvacuateWithin.Std()).To(BeZero())
		Expect(settings.Admission.ColdOverage).To(Equal(1.0))
		Expect(settings.Limits.Descriptors).To(Equal(4100))
	})

	DescribeTable("reports the invalid setting", func(old, replacement, want string) {
		text := renderedTemplate()
		Expect(text).To(ContainSubstring(old))
		_, err := load(strings.Replace(text, old, replacement, 1))
		Expect(err).To(MatchError(config.ErrInvalid))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("unknown key", "stop:", "stopp:", "stopp"),
		Entry("invalid address", "10.1.0.33:8783", "here", "listen.caller"),
		Entry("missing id", `id: "front-north-1"`, `id: ""`, "id"),
		Entry("invalid duration", "grace: 8s", "grace: soon", "duration"),
		Entry("invalid ratio", "ratio: 0.2", "ratio: 7", "retry.ratio"),
		Entry("invalid level", "level: info", "level: loud", "log.level"),
	)
})

// FuzzGatewaySettings checks that loading settings never panics and that errors are
// typed.
func FuzzGatewaySettings(f *testing.F) {
	template, err := os.ReadFile("../deploy/gateway.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(render(string(template), nil)))
	f.Add([]byte("id: [\n"))
	path := filepath.Join(f.TempDir(), "settings.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := config.LoadGatewaySettings(path)
		if err != nil && !errors.Is(err, config.ErrInvalid) && !errors.Is(err, config.ErrTooLarge) {
			t.Fatalf("untyped error: %v", err)
		}
	})
}
