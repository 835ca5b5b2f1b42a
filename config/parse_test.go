package config_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("ParseInventory", func() {
	It("parses an inventory and applies defaults", func() {
		inv := sampleInventory()
		Expect(inv.Services[0].IdleTimeout.Std()).To(Equal(250 * time.Millisecond))
		Expect(inv.Services[1].SecondPrice).To(Equal(1.0))
		Expect(inv.Rules.ClaimRetention.Std()).To(Equal(24 * time.Hour))
		Expect(inv.Upstreams[1].ChecksFencing).To(BeTrue())
	})

	It("parses the output of FormatInventory", func() {
		text, err := config.FormatInventory(sampleInventory())
		Expect(err).NotTo(HaveOccurred())
		parsed, err := config.ParseInventory(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(Equal(sampleInventory()))
	})

	It("decodes the output of EncodeInventory and rejects invalid JSON forms", func() {
		data, err := config.EncodeInventory(sampleInventory())
		Expect(err).NotTo(HaveOccurred())
		Expect(config.DecodeInventory(data)).To(Equal(sampleInventory()))
		for _, invalid := range []string{`{"colour":1}`, `{} {}`, `{"teams":[{"id":""}]}`, `[`} {
			_, err = config.DecodeInventory([]byte(invalid))
			Expect(err).To(MatchError(config.ErrInvalid))
		}
	})

	DescribeTable("reports the line, the key and the expected value", func(old, replacement, want string) {
		text := sampleText()
		Expect(text).To(ContainSubstring(old))
		_, err := config.ParseInventory([]byte(strings.Replace(text, old, replacement, 1)))
		Expect(err).To(MatchError(config.ErrInvalid))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("unknown region", "vm-1, region: noord", "vm-1, region: zuid", `config: inventory:5: vms[0].region: expected the id of a region of the inventory, got "zuid"`),
		Entry("unknown failure domain", "failure_domain: n1", "failure_domain: n2", `inventory:5: vms[0].failure_domain: expected a failure domain of region noord, got "n2"`),
		Entry("duplicate id", "id: vm-2, region", "id: vm-1, region", `inventory:6: vms[1].id: expected a unique identifier, got "vm-1"`),
		Entry("unknown service", "id: up-1, vm: vm-2, service: chat", "id: up-1, vm: vm-2, service: chess", `inventory:16: upstreams[0].service: expected the id of a service`),
		Entry("sidecar with the identifier of a router", "id: up-1", "id: router-1", `upstreams[0].id: expected a unique identifier, got "router-1"`),
		Entry("unknown team", "team: westland, weight: 2", "team: east, weight: 2", `rules.shares[0].team: expected the id of a team`),
		Entry("duplicate share", "team: westland, service: chat", "team: westland", `rules.shares[1].team: expected one share`),
		Entry("invalid kind", "kind: plain", "kind: model2", `inventory:14: services[1].kind: expected one of model plain, got "model2"`),
		Entry("invalid slots", "slots: 4", "slots: 0", `inventory:16: upstreams[0].slots: expected at least 1, got "0"`),
		Entry("invalid address", `"127.0.0.3:7001"`, `localhost`, `upstreams[0].sidecar_address: expected ip:port, got "localhost"`),
		Entry("invalid duration", "250ms", "soon", `inventory:12: services[0].idle_timeout: expected a duration such as 250ms or 1m30s`),
		Entry("negative duration", "250ms", "-1s", `inventory:12: services[0].idle_timeout: expected a duration`),
		Entry("wrong type", "slots: 4", "slots: many", `inventory:16: upstreams[0].slots: expected an integer`),
		Entry("unknown key", "kind: plain", "kind: plain\n    colour: red", `inventory:15: services[1].colour: expected a known key`),
		Entry("duplicate key", "kind: plain", "kind: plain\n    kind: plain", `inventory:15: services[1].kind: expected well-formed YAML (mapping key "kind" already defined`),
		Entry("malformed YAML", "regions:", "regions: [", `config: inventory:`),
		Entry("alias", "failure_domains: [n1]", "failure_domains: &a [n1]", `inventory:3: expected no anchors or aliases`),
		Entry("multiple documents", "rules:", "---\nrules:", `expected a single document`),
		Entry("claim retention shorter than the requests", "rules:", "rules:\n  claim_retention: 20m", `rules.claim_retention: expected at least twice the longest max_duration of a non-idempotent service and a minute: 21m0s, got "20m0s"`),
		Entry("home regions of a service", "kind: plain", "kind: plain\n    regions: [noord]", `services[1].regions: expected no home regions: routers do not support them yet, got "[noord]"`),
		Entry("unknown home region of a service", "kind: plain", "kind: plain\n    regions: [zuid]", `services[1].regions[0]: expected the id of a region of the inventory, got "zuid"`),
		Entry("home regions of a team", "key_hashes: []", "key_hashes: []\n    regions: [noord]", `teams[1].regions: expected no home regions: routers do not support them yet`),
		Entry("unknown home region of a team", "key_hashes: []", "key_hashes: []\n    regions: [noord, zuid]", `teams[1].regions[1]: expected the id of a region`),
		Entry("missing id", "- id: chat\n    kind", "- kind", `inventory:10: services[0].id: expected an identifier`),
	)

	It("rejects an oversized document", func() {
		_, err := config.ParseInventory(make([]byte, config.MaxInventoryBytes+1))
		Expect(err).To(MatchError(config.ErrTooLarge))
	})
})

var _ = Describe("Index", func() {
	It("looks up teams, weights, upstreams and leaving VMs", func() {
		index, err := config.NewIndex(sampleInventory())
		Expect(err).NotTo(HaveOccurred())
		team, ok := index.TeamByKey("key-1")
		Expect(ok).To(BeTrue())
		Expect(team).To(Equal(fleet.TeamID("westland")))
		_, ok = index.TeamByKey("key-2")
		Expect(ok).To(BeFalse())
		Expect(index.Weight("chat", "westland")).To(Equal(3.0))
		Expect(index.Weight("bookings", "westland")).To(Equal(2.0))
		Expect(index.Weight("chat", "depot")).To(Equal(config.DefaultWeight))
		Expect(index.UpstreamsOf("chat")).To(HaveLen(2))
		Expect(index.Leaving("vm-2")).To(Equal(&fleet.LeavingRule{Incarnation: 7}))
		Expect(index.Leaving("vm-1")).To(BeNil())
	})

	DescribeTable("matches non-idempotent requests by the cleaned path", func(method, path string, want bool) {
		index, err := config.NewIndex(sampleInventory())
		Expect(err).NotTo(HaveOccurred())
		Expect(index.NonIdempotent("bookings", method, path)).To(Equal(want))
		Expect(index.NonIdempotent("chat", method, path)).To(BeFalse())
	},
		Entry(nil, "POST", "/orders", true),
		Entry(nil, "post", "/orders/7", true),
		Entry(nil, "POST", "//orders", true),
		Entry(nil, "POST", "/stock/../orders", true),
		Entry(nil, "POST", "orders", true),
		Entry(nil, "GET", "/orders", false),
		Entry(nil, "POST", "/stock", false),
		Entry(nil, "POST", "/orders/../stock", false),
	)
})

var _ = Describe("Settings", func() {
	load := func(text string) (config.RouterSettings, error) {
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return config.LoadRouterSettings(path)
	}
	const validSettings = `id: router-1
vm: vm-1
region: noord
failure_domain: n1
listen:
  caller: ":8080"
  admin: "127.0.0.2:8081"
  peer: "127.0.0.2:7000"
platform:
  url: http://127.0.0.9:80
tls:
  peer: {plaintext: true}
  caller: {cert: a.pem, key: b.pem}
  admin: {plaintext: true}
`

	It("applies the defaults of missing fields to a router's settings", func() {
		settings, err := load(validSettings)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.RetryBudget).To(Equal(0.1))
		Expect(settings.TLS.Caller.Cert).To(Equal("a.pem"))
		Expect(settings.Log.Level).To(Equal("info"))
	})

	DescribeTable("rejects", func(old, replacement, want string) {
		_, err := load(strings.Replace(validSettings, old, replacement, 1))
		Expect(err).To(MatchError(config.ErrInvalid))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("a malformed address", `"127.0.0.2:7000"`, "x", `config: settings.yaml:8: listen.peer: expected host:port, got "x"`),
		Entry("a peer listener without TLS files", "peer: {plaintext: true}", "peer: {}", `config: settings.yaml:12: tls.peer.ca: expected a value, or plaintext: true`),
		Entry("TLS files in addition to plaintext", "admin: {plaintext: true}", "admin: {plaintext: true, cert: a}", `tls.admin.cert: expected no value beside plaintext: true`),
		Entry("an unknown key", "vm:", "wm:", `config: settings.yaml:2: wm: expected a known key`),
		Entry("an empty file", validSettings, "", `id: expected an identifier`),
	)

	It("enables staging at a sidecar by default", func() {
		path := filepath.Join(GinkgoT().TempDir(), "sidecar.yaml")
		text := "id: up-1\nvm: vm-2\nregion: noord\nfailure_domain: n1\nlisten: {peer: \"127.0.0.3:7001\", admin: \"127.0.0.3:7081\"}\n" +
			"upstream: {url: \"http://127.0.0.3:9000\"}\ntls: {peer: {plaintext: true}}\n"
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		settings, err := config.LoadSidecarSettings(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Staging).To(BeTrue())
		Expect(os.WriteFile(path, []byte(text+"staging: false\n"), 0o600)).To(Succeed())
		settings, err = config.LoadSidecarSettings(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Staging).To(BeFalse())
	})
})

// FuzzParseInventory checks that parsing never panics, that errors are typed, and that a
// valid inventory survives Split and Join.
func FuzzParseInventory(f *testing.F) {
	f.Add([]byte(sampleText()))
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, err := config.ParseInventory(data)
		if err != nil {
			if !errors.Is(err, config.ErrInvalid) && !errors.Is(err, config.ErrTooLarge) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		head, shards, err := config.Split(inv)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := config.Join(head, byHash(shards))
		if err != nil {
			t.Fatal(err)
		}
		if changes := config.Diff(inv, joined); len(changes) > 0 {
			t.Fatalf("Split and Join changed the inventory: %v", changes)
		}
	})
}

// byHash returns the data of shards by their hash.
func byHash(shards []config.Shard) map[config.Hash][]byte {
	out := make(map[config.Hash][]byte, len(shards))
	for _, shard := range shards {
		out[shard.Hash] = shard.Data
	}
	return out
}
