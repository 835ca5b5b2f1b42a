package harness

import (
	"context"
	"os"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

func (f *Fleet) prepare(ctx context.Context, inv config.Inventory) error {
	dir, err := os.MkdirTemp("", "fulmarspindle-e2e-")
	if err != nil {
		return eris.Wrap(ErrFiles, err.Error())
	}
	f.dir = dir
	if f.runner, err = NewRunner(dir); err != nil {
		return err
	}
	if f.network, err = NewNetwork(ctx); err != nil {
		return err
	}
	if f.platformAddress, err = f.network.Next(); err != nil {
		return err
	}
	f.Platform = NewControlClient(f.platformAddress + controlPort)
	if f.Inventory, err = assignAddresses(inv, f.network, f.options.Proxied); err != nil {
		return err
	}
	if err := f.prepareRouters(); err != nil {
		return err
	}
	return f.prepareUpstreams()
}

func (f *Fleet) prepareRouters() error {
	var peers []string
	for _, router := range f.Inventory.Routers {
		peers = append(peers, router.PeerAddress)
	}
	for _, router := range f.Inventory.Routers {
		vm, err := f.findVM(router.VM)
		if err != nil {
			return err
		}
		platform, err := f.addRouterLinks(router, vm)
		if err != nil {
			return err
		}
		settings := routerSettings(router, vm, without(peers, router.PeerAddress), "http://"+platform, f.options)
		path, err := writeYAML(f.dir, string(router.ID), settings)
		if err != nil {
			return err
		}
		f.Routers = append(f.Routers, &Router{ID: router.ID, VM: vm, settings: path})
	}
	return nil
}

// addRouterLinks adds the router's links and returns the address at which it
// reaches the platform.
func (f *Fleet) addRouterLinks(router config.Router, vm config.VM) (string, error) {
	platform := f.platformAddress + servePort
	if !f.options.Proxied {
		return platform, nil
	}
	if err := f.Links.addPeer(vm, router.PeerAddress, vm.Address+peerPort); err != nil {
		return "", err
	}
	proxy := vm.Address + platformProxyPort
	return proxy, f.Links.addPlatform(router.ID, proxy, platform)
}

func (f *Fleet) prepareUpstreams() error {
	services := map[fleet.ServiceID]config.Service{}
	for _, service := range f.Inventory.Services {
		services[service.ID] = service
	}
	for _, upstream := range f.Inventory.Upstreams {
		vm, err := f.findVM(upstream.VM)
		if err != nil {
			return err
		}
		if f.options.Proxied {
			if err := f.Links.addPeer(vm, upstream.SidecarAddress, vm.Address+f.upstreamPort()); err != nil {
				return err
			}
		}
		f.Upstreams = append(f.Upstreams, &Upstream{
			ID:          upstream.ID,
			Service:     services[upstream.Service],
			VM:          vm,
			Incarnation: firstIncarnation,
			Control:     NewControlClient(vm.Address + controlPort),
			definition:  upstream,
		})
	}
	return nil
}

// upstreamPort returns the port to which the upstreams' peer links forward: that of
// the sidecar, or of the stand-in itself in a baseline fleet.
func (f *Fleet) upstreamPort() string {
	if f.options.Baseline {
		return servePort
	}
	return peerPort
}

func (f *Fleet) findVM(id fleet.VMID) (config.VM, error) {
	for _, vm := range f.Inventory.VMs {
		if vm.ID == id {
			return vm, nil
		}
	}
	return config.VM{}, eris.Wrapf(ErrUnknown, "VM %s", id)
}

func without(addresses []string, excluded string) []string {
	var remaining []string
	for _, address := range addresses {
		if address != excluded {
			remaining = append(remaining, address)
		}
	}
	return remaining
}
