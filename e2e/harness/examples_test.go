package harness

import (
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
)

func examplePath(name string) string {
	binDir, err := BinaryDir()
	Expect(err).NotTo(HaveOccurred())
	return filepath.Join(filepath.Dir(binDir), "examples", name)
}

var _ = Describe("the examples", func() {
	DescribeTable("contain valid inventories for a fleet",
		func(name string, engines, servers int) {
			data, err := os.ReadFile(examplePath(name))
			Expect(err).NotTo(HaveOccurred())
			inv, err := config.ParseInventory(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(inv.Regions).To(HaveLen(3))
			Expect(inv.Routers).To(HaveLen(3))
			Expect(inv.Teams).To(HaveLen(16))
			counts := map[config.ServiceKind]int{}
			kinds := map[string]config.ServiceKind{}
			for _, service := range inv.Services {
				kinds[string(service.ID)] = service.Kind
			}
			for _, upstream := range inv.Upstreams {
				counts[kinds[string(upstream.Service)]]++
			}
			Expect(counts).To(Equal(map[config.ServiceKind]int{config.KindModel: engines, config.KindPlain: servers}))

			f, err := NewFleet(specContext(), inv, Options{Proxied: true})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(f.Close)
			Expect(roundTrip(f.Inventory)).To(Equal(f.Inventory))
		},
		Entry("Warmtekas", "warmtekas.yaml", 12, 3),
		Entry("Crookneck", "crookneck.yaml", 9, 3),
	)

	It("contain valid settings", func() {
		_, err := config.LoadRouterSettings(examplePath("router.yaml"))
		Expect(err).NotTo(HaveOccurred())
		_, err = config.LoadSidecarSettings(examplePath("sidecar.yaml"))
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("a topology", func() {
	It("yields a valid inventory and settings", func() {
		topology := Topology{Regions: 2, Routers: 2, Engines: 2, Services: 1, Slots: 4, Teams: 3}
		f, err := NewFleet(specContext(), topology.Inventory(), Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		inv, err := roundTrip(f.Inventory)
		Expect(err).NotTo(HaveOccurred())
		Expect(inv.Upstreams).To(HaveLen(6))
		_, err = config.LoadRouterSettings(f.Routers[0].settings)
		Expect(err).NotTo(HaveOccurred())
		path, err := writeYAML(f.Dir(), "sidecar", sidecarSettings(f.Upstreams[0], Options{}))
		Expect(err).NotTo(HaveOccurred())
		_, err = config.LoadSidecarSettings(path)
		Expect(err).NotTo(HaveOccurred())
	})
})

// roundTrip encodes an inventory and parses it as the product does.
func roundTrip(inv config.Inventory) (config.Inventory, error) {
	data, err := yaml.Marshal(inv)
	if err != nil {
		return inv, err
	}
	return config.ParseInventory(data)
}
