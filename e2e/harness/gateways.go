package harness

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/e2e/faultproxy"
)

// Ports of the platform stand-in and of the gateways. Each process has its own IP
// address.
const (
	gatewayPlatformPort        = 7100
	gatewayPlatformControlPort = 7101
	gatewayCallerPort          = 7102
	gatewayReadyPort           = 7103
	gatewayPeerPort            = 7104
	gatewayMetricsPort         = 7105
	gatewayAdvertisedPort      = 7106
)

// GatewayFleet runs gateways as processes that connect to a platform stand-in.
type GatewayFleet struct {
	Network *Network
	Runner  *Runner
	// PlatformAddress is the address of the platform stand-in's object API.
	PlatformAddress string
	// Platform is a client of the platform stand-in's control port.
	Platform ControlClient
	Gateways []*Gateway

	dir     string
	options GatewayFleetOptions
}

// GatewayFleetOptions configures a GatewayFleet.
type GatewayFleetOptions struct {
	Gateways int
	// FailureDomains is the number of failure domains over which the gateways are
	// distributed, named z1, z2 and so on; zero means one.
	FailureDomains int
	// Regions is the number of regions over which the failure domains are distributed,
	// named r1, r2 and so on; zero means one.
	Regions int
	// EvacuateWithin is the time in which an evacuation must be in force. Zero means
	// that the gateways do not follow evacuations.
	EvacuateWithin time.Duration
	// Dir is the directory of the settings and logs.
	Dir string
	// Settings is YAML that is appended to the gateways' settings.
	Settings string
	// Proxied puts a fault proxy in front of each gateway's peer listener, and one
	// between each gateway and the platform.
	Proxied bool
}

// Gateway is one gateway of a GatewayFleet.
type Gateway struct {
	*Process
	Name         string
	SettingsPath string
	// Link is the fault proxy in front of the peer listener, or nil.
	Link *faultproxy.Link
	// PlatformLink is the fault proxy between the gateway and the platform, or nil.
	PlatformLink  *faultproxy.Link
	address       string
	failureDomain string
}

// NewGatewayFleet starts the platform stand-in and the fault proxies, and writes the
// gateways' settings. Start starts a gateway.
func NewGatewayFleet(ctx context.Context, options GatewayFleetOptions) (*GatewayFleet, error) {
	f := &GatewayFleet{dir: options.Dir, options: options}
	if err := f.setUp(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *GatewayFleet) setUp(ctx context.Context) error {
	var err error
	if f.Network, err = NewNetwork(ctx); err != nil {
		return err
	}
	if f.Runner, err = NewRunner(f.dir); err != nil {
		return err
	}
	host, err := f.Network.Next()
	if err != nil {
		return err
	}
	f.PlatformAddress = hostPort(host, gatewayPlatformPort)
	control := hostPort(host, gatewayPlatformControlPort)
	if _, err = f.Runner.Start("platform", "standin", "platform", "--listen", f.PlatformAddress, "--control", control); err != nil {
		return err
	}
	f.Platform = NewControlClient(control)
	if err := awaitCondition(ctx, func() bool { return f.Platform.Set(ctx, map[string]any{}) == nil }); err != nil {
		return err
	}
	// The object API has its own listener, which may open after the control port.
	url := "http://" + f.PlatformAddress + "/fulmarspindle/objects/config"
	if err := awaitCondition(ctx, func() bool { return getStatus(ctx, url) != 0 }); err != nil {
		return err
	}
	return f.addGateways()
}

func hostPort(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// awaitCondition polls a condition until it holds, for at most readyTimeout.
func awaitCondition(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ErrNotReady
		case <-ticker.C:
		}
	}
	return nil
}

// getStatus returns the status of GET url, or zero without a response.
func getStatus(ctx context.Context, url string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// addGateways creates the gateways with their addresses, links and settings. All
// links exist before the settings are written, which list every peer's address.
func (f *GatewayFleet) addGateways() error {
	for i := range f.options.Gateways {
		address, err := f.Network.Next()
		if err != nil {
			return err
		}
		failureDomain := FailureDomain(i % max(f.options.FailureDomains, 1))
		f.Gateways = append(f.Gateways, &Gateway{Name: fmt.Sprint("gateway-", i+1), address: address, failureDomain: failureDomain})
	}
	for _, g := range f.Gateways {
		if f.options.Proxied {
			if err := f.addLinks(g); err != nil {
				return err
			}
		}
	}
	for _, g := range f.Gateways {
		if err := f.writeSettings(g); err != nil {
			return err
		}
	}
	return nil
}

func (f *GatewayFleet) addLinks(g *Gateway) error {
	var err error
	if g.Link, err = faultproxy.NewLink(hostPort(g.address, gatewayAdvertisedPort), hostPort(g.address, gatewayPeerPort)); err != nil {
		return err
	}
	g.PlatformLink, err = faultproxy.NewLink(hostPort(g.address, gatewayPlatformPort), f.PlatformAddress)
	return err
}

func (f *GatewayFleet) writeSettings(g *Gateway) error {
	g.SettingsPath = filepath.Join(f.dir, g.Name+".yaml")
	var peers []string
	for _, other := range f.Gateways {
		peers = append(peers, fmt.Sprintf("%q", other.advertisedAddress()))
	}
	settings := fmt.Sprintf(`id: %s
region: %s
failure_domain: %s
regions: {%s}
listen: {caller: %q, ready: %q, peer: %q, peer_advertised: %q, metrics: %q}
peers: [%s]
platform: {url: "http://%s", retry: 50ms%s}
stop: {grace: 5s, withdrawal: 200ms}
%s`, g.Name, f.Region(g.failureDomain), g.failureDomain, f.regionsYAML(), g.CallerAddress(), hostPort(g.address, gatewayReadyPort), hostPort(g.address, gatewayPeerPort), g.advertisedAddress(), g.MetricsAddress(),
		strings.Join(peers, ","), f.platformAddressOf(g), f.evacuateWithinYAML(), f.options.Settings)
	if err := os.WriteFile(g.SettingsPath, []byte(settings), 0o600); err != nil {
		return eris.Wrap(ErrFiles, err.Error())
	}
	return nil
}

// platformAddressOf returns the address at which a gateway reaches the platform.
func (f *GatewayFleet) platformAddressOf(g *Gateway) string {
	if g.PlatformLink == nil {
		return f.PlatformAddress
	}
	return g.PlatformLink.Address()
}

// evacuateWithinYAML returns the entry of the platform's settings, or nothing.
func (f *GatewayFleet) evacuateWithinYAML() string {
	if f.options.EvacuateWithin == 0 {
		return ""
	}
	return fmt.Sprintf(", evacuate_within: %v", f.options.EvacuateWithin)
}

// regionsYAML returns the YAML entries that map each failure domain to its region.
func (f *GatewayFleet) regionsYAML() string {
	var entries []string
	for i := range max(f.options.FailureDomains, 1) {
		entries = append(entries, fmt.Sprintf("%s: %s", FailureDomain(i), f.regionOf(i)))
	}
	return strings.Join(entries, ", ")
}

// FailureDomain returns the name of the failure domain with an index from zero.
func FailureDomain(index int) string { return fmt.Sprint("z", index+1) }

func (f *GatewayFleet) regionOf(failureDomain int) string {
	return fmt.Sprint("r", 1+failureDomain%max(f.options.Regions, 1))
}

// Region returns the region of a failure domain, and nothing for one that the fleet does
// not have.
func (f *GatewayFleet) Region(failureDomain string) string {
	for i := range max(f.options.FailureDomains, 1) {
		if FailureDomain(i) == failureDomain {
			return f.regionOf(i)
		}
	}
	return ""
}

// CallerAddress returns the address of the caller listener.
func (g *Gateway) CallerAddress() string { return hostPort(g.address, gatewayCallerPort) }

// MetricsAddress returns the address that serves metrics and state.
func (g *Gateway) MetricsAddress() string { return hostPort(g.address, gatewayMetricsPort) }

// SourceAddress returns the IP address from which the gateway connects to others.
func (g *Gateway) SourceAddress() string { return g.address }

// FailureDomain returns the gateway's failure domain.
func (g *Gateway) FailureDomain() string { return g.failureDomain }

// advertisedAddress returns the peer address that other gateways connect to.
func (g *Gateway) advertisedAddress() string {
	if g.Link == nil {
		return hostPort(g.address, gatewayPeerPort)
	}
	return g.Link.Address()
}

// Start starts a gateway, or restarts one that has exited.
func (f *GatewayFleet) Start(g *Gateway) error {
	var err error
	g.Process, err = f.Runner.Start(g.Name, "fulmarspindle", "gateway", "--settings", g.SettingsPath)
	return err
}

// StartAll starts all gateways and waits until they are ready.
func (f *GatewayFleet) StartAll(ctx context.Context) error {
	for _, g := range f.Gateways {
		if err := f.Start(g); err != nil {
			return err
		}
	}
	for _, g := range f.Gateways {
		if err := f.AwaitReady(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until a gateway reports that it is ready.
func (f *GatewayFleet) AwaitReady(ctx context.Context, g *Gateway) error {
	url := "http://" + hostPort(g.address, gatewayReadyPort) + "/fulmarspindle/ready"
	if err := awaitCondition(ctx, func() bool { return getStatus(ctx, url) == http.StatusOK }); err != nil {
		return eris.Wrapf(err, "%s", g.Name)
	}
	return nil
}

// Isolate cuts the given gateways off from all others, in both directions. They
// still reach each other. It requires GatewayFleetOptions.Proxied.
func (f *GatewayFleet) Isolate(isolated ...*Gateway) {
	isIsolated := map[*Gateway]bool{}
	for _, g := range isolated {
		isIsolated[g] = true
	}
	for _, target := range f.Gateways {
		for _, source := range f.Gateways {
			if isIsolated[target] != isIsolated[source] {
				target.Link.Cut(source.SourceAddress())
			}
		}
	}
}

// Heal removes all faults of all links except delays. It requires
// GatewayFleetOptions.Proxied.
func (f *GatewayFleet) Heal() error {
	for _, g := range f.Gateways {
		if err := g.Link.Heal(); err != nil {
			return err
		}
		if err := g.PlatformLink.Heal(); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all processes and closes the links.
func (f *GatewayFleet) Close() {
	if f.Runner != nil {
		f.Runner.Close()
	}
	for _, g := range f.Gateways {
		if g.Link != nil {
			g.Link.Close()
		}
		if g.PlatformLink != nil {
			g.PlatformLink.Close()
		}
	}
	if f.Network != nil {
		f.Network.Close()
	}
}

// Throttle lets the process run for only the given share of each period until ctx
// ends, to simulate a shortage of CPU time.
func (p *Process) Throttle(ctx context.Context, share float64, period time.Duration) {
	defer p.signal(syscall.SIGCONT)
	running := time.Duration(share * float64(period))
	for ctx.Err() == nil {
		p.signal(syscall.SIGCONT)
		sleep(ctx, running)
		p.signal(syscall.SIGSTOP)
		sleep(ctx, period-running)
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
