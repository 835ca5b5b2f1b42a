package harness

import (
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/faultproxy"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Links holds the fault proxies of a Fleet. Each process connects from the address
// of its own VM, so that a fault can be limited to one source.
type Links struct {
	vms      []config.VM
	peers    map[fleet.VMID]*faultproxy.Link
	platform map[fleet.NodeID]*faultproxy.Link
}

func newLinks() *Links {
	return &Links{
		peers:    map[fleet.VMID]*faultproxy.Link{},
		platform: map[fleet.NodeID]*faultproxy.Link{},
	}
}

func (l *Links) addPeer(vm config.VM, listen, target string) error {
	link, err := faultproxy.NewLink(listen, target)
	if err != nil {
		return err
	}
	l.vms = append(l.vms, vm)
	l.peers[vm.ID] = link
	return nil
}

func (l *Links) addPlatform(router fleet.NodeID, listen, target string) error {
	link, err := faultproxy.NewLink(listen, target)
	if err != nil {
		return err
	}
	l.platform[router] = link
	return nil
}

// Peer returns the link to the router or sidecar on a VM, or nil.
func (l *Links) Peer(vm fleet.VMID) *faultproxy.Link {
	return l.peers[vm]
}

// Platform returns a router's link to the platform, or nil.
func (l *Links) Platform(router fleet.NodeID) *faultproxy.Link {
	return l.platform[router]
}

// CutVM cuts a VM off from all other VMs in both directions, but not from the
// platform.
func (l *Links) CutVM(id fleet.VMID) error {
	return l.forEachLink(involvesVM(id), func(link *faultproxy.Link, source string) error {
		link.Cut(source)
		return nil
	})
}

// FreezeVM holds back all data between a VM and the other VMs.
func (l *Links) FreezeVM(id fleet.VMID) error {
	return l.forEachLink(involvesVM(id), func(link *faultproxy.Link, source string) error {
		link.Freeze(source)
		return nil
	})
}

// CutRegion cuts a region off from all other regions.
func (l *Links) CutRegion(id fleet.RegionID) error {
	return l.forEachLink(crossesRegion(id), func(link *faultproxy.Link, source string) error {
		link.Cut(source)
		return nil
	})
}

// FreezeRegion holds back all data between a region and the other regions.
func (l *Links) FreezeRegion(id fleet.RegionID) error {
	return l.forEachLink(crossesRegion(id), func(link *faultproxy.Link, source string) error {
		link.Freeze(source)
		return nil
	})
}

// DelayRegions sets the one-way delay between VMs in different regions.
func (l *Links) DelayRegions(d time.Duration) error {
	crossesRegions := func(a, b config.VM) bool { return a.Region != b.Region }
	return l.forEachLink(crossesRegions, func(link *faultproxy.Link, source string) error {
		link.Delay(d, source)
		return nil
	})
}

// Heal removes all faults except delays, including those on the links to the
// platform.
func (l *Links) Heal() error {
	for _, link := range l.peers {
		if err := link.Heal(); err != nil {
			return err
		}
	}
	for _, link := range l.platform {
		if err := link.Heal(); err != nil {
			return err
		}
	}
	return nil
}

// Close closes all links.
func (l *Links) Close() {
	for _, link := range l.peers {
		link.Close()
	}
	for _, link := range l.platform {
		link.Close()
	}
}

// forEachLink calls apply with each link and each source address for which affected
// is true for the VM of the source and that of the link's target.
func (l *Links) forEachLink(affected func(a, b config.VM) bool, apply func(link *faultproxy.Link, source string) error) error {
	if len(l.vms) == 0 {
		return eris.Wrap(ErrUnknown, "the fleet has no fault proxies")
	}
	if err := l.checkSources(); err != nil {
		return err
	}
	for _, target := range l.vms {
		for _, source := range l.vms {
			if source.ID == target.ID || !affected(source, target) {
				continue
			}
			if err := apply(l.peers[target.ID], source.Address); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkSources returns an error if a connection originates from an address that is
// no VM's, because a fault limited to one source would silently miss it.
func (l *Links) checkSources() error {
	known := map[string]bool{}
	for _, vm := range l.vms {
		known[vm.Address] = true
	}
	for id, link := range l.peers {
		for _, source := range link.Sources() {
			if !known[source] {
				return eris.Wrapf(ErrUnknown, "connection to %s originates from %s, which is not the address of a VM", id, source)
			}
		}
	}
	return nil
}

func involvesVM(id fleet.VMID) func(a, b config.VM) bool {
	return func(a, b config.VM) bool { return a.ID == id || b.ID == id }
}

func crossesRegion(id fleet.RegionID) func(a, b config.VM) bool {
	return func(a, b config.VM) bool { return (a.Region == id) != (b.Region == id) }
}
