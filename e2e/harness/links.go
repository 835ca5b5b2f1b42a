package harness

import (
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/faultproxy"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Links are the fault proxies of a fleet. A process connects from its own VM's
// address, so that a fault can be set for one source.
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

// Peer returns the link to the process of the product on a VM, or nil.
func (l *Links) Peer(vm fleet.VMID) *faultproxy.Link {
	return l.peers[vm]
}

// Platform returns a router's link to the platform, or nil.
func (l *Links) Platform(router fleet.NodeID) *faultproxy.Link {
	return l.platform[router]
}

// CutVM cuts a VM off from all other processes, in both directions, but not
// from the platform.
func (l *Links) CutVM(id fleet.VMID) error {
	return l.forEachLink(involvesVM(id), func(link *faultproxy.Link, source string) error {
		link.Cut(source)
		return nil
	})
}

// FreezeVM holds all that a VM and the other processes send each other.
func (l *Links) FreezeVM(id fleet.VMID) error {
	return l.forEachLink(involvesVM(id), func(link *faultproxy.Link, source string) error {
		link.Freeze(source)
		return nil
	})
}

// CutRegion cuts a region off from all others.
func (l *Links) CutRegion(id fleet.RegionID) error {
	return l.forEachLink(crossesRegion(id), func(link *faultproxy.Link, source string) error {
		link.Cut(source)
		return nil
	})
}

// FreezeRegion holds all that a region and the others send each other.
func (l *Links) FreezeRegion(id fleet.RegionID) error {
	return l.forEachLink(crossesRegion(id), func(link *faultproxy.Link, source string) error {
		link.Freeze(source)
		return nil
	})
}

// DelayRegions sets the one-way delay between processes of different regions.
func (l *Links) DelayRegions(d time.Duration) error {
	crossesRegions := func(a, b config.VM) bool { return a.Region != b.Region }
	return l.forEachLink(crossesRegions, func(link *faultproxy.Link, source string) error {
		link.Delay(d, source)
		return nil
	})
}

// Heal ends all faults but delays, on the links to the platform too.
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

// Close ends all links.
func (l *Links) Close() {
	for _, link := range l.peers {
		link.Close()
	}
	for _, link := range l.platform {
		link.Close()
	}
}

// eachPair calls f for each link and each source address for which both VMs
// are apart.
func (l *Links) forEachLink(affected func(a, b config.VM) bool, f func(link *faultproxy.Link, source string) error) error {
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
			if err := f(l.peers[target.ID], source.Address); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkSources fails if a connection comes from no VM's address: a fault for
// one source would silently miss it.
func (l *Links) checkSources() error {
	known := map[string]bool{}
	for _, vm := range l.vms {
		known[vm.Address] = true
	}
	for id, link := range l.peers {
		for _, source := range link.Sources() {
			if !known[source] {
				return eris.Wrapf(ErrUnknown, "a connection to %s comes from %s, which is no VM's address", id, source)
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
