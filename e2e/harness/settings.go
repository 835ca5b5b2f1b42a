package harness

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Ports of the processes on a VM. Each VM has its own IP address.
const (
	callerPort  = ":7000"
	adminPort   = ":7001"
	peerPort    = ":7002"
	servePort   = ":7100"
	controlPort = ":7101"
	// Ports of the fault proxies, on the same address as their target or their
	// client.
	peerProxyPort     = ":7012"
	platformProxyPort = ":7110"
)

// AdminToken is the admin token of every fleet that the harness starts.
const AdminToken = "harness-admin-token"

// TeamKey returns the bearer key of a team in a fleet of the harness.
func TeamKey(team fleet.TeamID) string {
	return "key-" + string(team)
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// assignAddresses returns the inventory with an address of the network for each VM,
// a peer address on its VM for each process, and the hash of TeamKey for each team.
// A VM may hold at most one router or sidecar, because the ports are fixed.
func assignAddresses(inv config.Inventory, network *Network, proxied bool) (config.Inventory, error) {
	inv.VMs = slices.Clone(inv.VMs)
	inv.Routers = slices.Clone(inv.Routers)
	inv.Upstreams = slices.Clone(inv.Upstreams)
	inv.Teams = slices.Clone(inv.Teams)
	port := peerPort
	if proxied {
		port = peerProxyPort
	}
	addresses := map[fleet.VMID]string{}
	for i := range inv.VMs {
		address, err := network.Next()
		if err != nil {
			return inv, err
		}
		inv.VMs[i].Address = address
		addresses[inv.VMs[i].ID] = address
	}
	for i := range inv.Routers {
		inv.Routers[i].PeerAddress = addresses[inv.Routers[i].VM] + port
	}
	for i := range inv.Upstreams {
		inv.Upstreams[i].SidecarAddress = addresses[inv.Upstreams[i].VM] + port
	}
	for i := range inv.Teams {
		inv.Teams[i].KeyHashes = []string{keyHash(TeamKey(inv.Teams[i].ID))}
	}
	return inv, nil
}

// routerSettings returns the settings of a router on the given VM.
func routerSettings(router config.Router, vm config.VM, peers []string, platformURL string, options Options) config.RouterSettings {
	settings := config.DefaultRouterSettings()
	settings.ID = router.ID
	settings.VM = vm.ID
	settings.Region = vm.Region
	settings.FailureDomain = vm.FailureDomain
	settings.Listen = config.RouterListen{
		Caller: vm.Address + callerPort,
		Admin:  vm.Address + adminPort,
		Peer:   vm.Address + peerPort,
	}
	settings.Peers = peers
	settings.Platform.URL = platformURL
	settings.AdminTokens = []config.AdminToken{{Name: "harness", Hash: keyHash(AdminToken)}}
	settings.TLS = config.RouterTLS{
		Peer:   config.PeerTLS{Plaintext: true},
		Caller: config.ServerTLS{Plaintext: true},
		Admin:  config.ServerTLS{Plaintext: true},
	}
	settings.Log.Level = options.logLevel()
	if options.EditRouter != nil {
		options.EditRouter(&settings)
	}
	return settings
}

// sidecarSettings returns the settings of an upstream's sidecar.
func sidecarSettings(u *Upstream, options Options) config.SidecarSettings {
	vm := u.VM
	settings := config.DefaultSidecarSettings()
	settings.ID = fleet.NodeID(u.ID)
	settings.VM = vm.ID
	settings.VMIncarnation = u.Incarnation
	settings.Region = vm.Region
	settings.FailureDomain = vm.FailureDomain
	settings.Listen = config.SidecarListen{
		Peer:  vm.Address + peerPort,
		Admin: vm.Address + adminPort,
	}
	settings.Upstream.URL = u.URL()
	settings.Upstream.HealthPath = "/health"
	settings.TLS.Peer.Plaintext = true
	settings.Log.Level = options.logLevel()
	if options.EditSidecar != nil {
		options.EditSidecar(&settings)
	}
	return settings
}

// writeYAML writes document to dir/name.yaml and returns the path.
func writeYAML(dir, name string, document any) (string, error) {
	data, err := yaml.Marshal(document)
	if err != nil {
		return "", eris.Wrap(ErrFiles, err.Error())
	}
	path := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", eris.Wrap(ErrFiles, err.Error())
	}
	return path, nil
}
