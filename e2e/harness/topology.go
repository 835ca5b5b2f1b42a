package harness

import (
	"fmt"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Services of the inventories that Topology describes.
const (
	ModelService fleet.ServiceID = "assistant"
	PlainService fleet.ServiceID = "bookings"
)

// Topology describes a fleet with identical regions. Routers, Engines and Services
// are counts per region.
type Topology struct {
	Regions  int
	Routers  int
	Engines  int
	Services int
	// Slots is the number of slots of each upstream.
	Slots int
	Teams int
}

// Inventory returns the inventory of the topology without addresses, which NewFleet
// assigns. POST to the plain service is not idempotent.
func (t Topology) Inventory() config.Inventory {
	inv := config.Inventory{
		Services: []config.Service{
			{ID: ModelService, Kind: config.KindModel, PromptTokenPrice: 0.1, GeneratedTokenPrice: 1},
			{ID: PlainService, Kind: config.KindPlain, SecondPrice: 1},
		},
		Rules: config.Rules{
			NonIdempotent: []config.NonIdempotentRule{{Service: PlainService, Methods: []string{"POST"}}},
		},
	}
	for i := range t.Regions {
		t.addRegion(&inv, i+1)
	}
	for i := range t.Teams {
		inv.Teams = append(inv.Teams, config.Team{ID: fleet.TeamID(fmt.Sprintf("team-%d", i+1))})
	}
	return inv
}

func (t Topology) addRegion(inv *config.Inventory, n int) {
	region := config.Region{
		ID:             fleet.RegionID(fmt.Sprintf("region-%d", n)),
		FailureDomains: []fleet.FailureDomainID{fleet.FailureDomainID(fmt.Sprintf("domain-%d", n))},
	}
	inv.Regions = append(inv.Regions, region)
	for i := range t.Routers {
		id := fmt.Sprintf("router-%d-%d", n, i+1)
		vm := addVM(inv, region, id)
		inv.Routers = append(inv.Routers, config.Router{ID: fleet.NodeID(id), VM: vm})
	}
	t.addUpstreams(inv, region, ModelService, fmt.Sprintf("engine-%d", n), t.Engines)
	t.addUpstreams(inv, region, PlainService, fmt.Sprintf("service-%d", n), t.Services)
}

func (t Topology) addUpstreams(inv *config.Inventory, region config.Region, service fleet.ServiceID, prefix string, count int) {
	for i := range count {
		id := fmt.Sprintf("%s-%d", prefix, i+1)
		inv.Upstreams = append(inv.Upstreams, config.Upstream{
			ID:      fleet.UpstreamID(id),
			VM:      addVM(inv, region, id),
			Service: service,
			Slots:   t.Slots,
		})
	}
}

// addVM adds a VM for one process and returns its ID.
func addVM(inv *config.Inventory, region config.Region, process string) fleet.VMID {
	id := fleet.VMID("vm-" + process)
	inv.VMs = append(inv.VMs, config.VM{
		ID:            id,
		Region:        region.ID,
		FailureDomain: region.FailureDomains[0],
	})
	return id
}
