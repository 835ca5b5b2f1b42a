package harness

import (
	"bytes"
	"context"
	"encoding/json"
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

// Ports of a site, each on its own address.
const (
	siteStorePort      = 7100
	siteControlPort    = 7101
	siteCallerPort     = 7102
	siteReadyPort      = 7103
	sitePeerPort       = 7104
	siteMetricsPort    = 7105
	siteAdvertisedPort = 7106
)

// ErrStore reports an object that the stand-in of the store did not take.
var ErrStore = eris.New("harness: object not written")

// Site is gateways as real processes before the stand-in of the platform's store.
type Site struct {
	Network  *Network
	Runner   *Runner
	Store    string
	Control  Control
	Gateways []*Gateway

	dir     string
	options SiteOptions
}

// SiteOptions set up a Site.
type SiteOptions struct {
	Gateways int
	// Domains is the number of failure domains, of one region, that the gateways
	// are spread over; zero means one.
	Domains int
	// Dir is where settings and logs are kept.
	Dir string
	// Settings is YAML that is added to the gateways' settings.
	Settings string
	// Proxied puts a fault proxy before the peer listener of each gateway.
	Proxied bool
}

// Gateway is one gateway of a Site.
type Gateway struct {
	*Process
	Name     string
	Settings string
	// Link is the fault proxy before the peer listener, or nil.
	Link    *faultproxy.Link
	address string
	domain  string
}

// NewSite starts a store. Gateways start with Start.
func NewSite(ctx context.Context, options SiteOptions) (*Site, error) {
	s := &Site{dir: options.Dir, options: options}
	if err := s.open(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) open(ctx context.Context) error {
	var err error
	if s.Network, err = NewNetwork(ctx); err != nil {
		return err
	}
	if s.Runner, err = NewRunner(s.dir); err != nil {
		return err
	}
	host, err := s.Network.Next()
	if err != nil {
		return err
	}
	s.Store = hostPort(host, siteStorePort)
	control := hostPort(host, siteControlPort)
	if _, err = s.Runner.Start("platform", "standin", "platform", "--listen", s.Store, "--control", control); err != nil {
		return err
	}
	s.Control = NewControl(control)
	if err := await(ctx, func() bool { return s.Control.Set(ctx, map[string]any{}) == nil }); err != nil {
		return err
	}
	// The store listens on an address of its own, at another moment.
	url := "http://" + s.Store + "/fulmarspindle/objects/config"
	if err := await(ctx, func() bool { return status(ctx, url) != 0 }); err != nil {
		return err
	}
	return s.addGateways()
}

func hostPort(host string, port int) string { return fmt.Sprintf("%s:%d", host, port) }

// await polls a condition until it holds, for readyTimeout at most.
func await(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return ErrNotReady
		case <-tick.C:
		}
	}
	return nil
}

// status returns the status of a GET, zero without an answer.
func status(ctx context.Context, url string) int {
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

// addGateways gives each gateway its address, settings and link.
func (s *Site) addGateways() error {
	for i := range s.options.Gateways {
		address, err := s.Network.Next()
		if err != nil {
			return err
		}
		domain := fmt.Sprint("z", 1+i%max(s.options.Domains, 1))
		s.Gateways = append(s.Gateways, &Gateway{Name: fmt.Sprint("gateway-", i+1), address: address, domain: domain})
	}
	for _, g := range s.Gateways {
		if s.options.Proxied {
			link, err := faultproxy.NewLink(hostPort(g.address, siteAdvertisedPort), hostPort(g.address, sitePeerPort))
			if err != nil {
				return err
			}
			g.Link = link
		}
	}
	for _, g := range s.Gateways {
		if err := s.writeSettings(g); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) writeSettings(g *Gateway) error {
	g.Settings = filepath.Join(s.dir, g.Name+".yaml")
	var seeds []string
	for _, other := range s.Gateways {
		seeds = append(seeds, fmt.Sprintf("%q", other.advertised()))
	}
	text := fmt.Sprintf(`id: %s
region: r1
failure_domain: %s
regions: {%s}
listen: {caller: %q, ready: %q, peer: %q, peer_advertised: %q, metrics: %q}
peers: [%s]
platform: {url: "http://%s", retry: 50ms}
stop: {grace: 5s, withdrawal: 200ms}
%s`, g.Name, g.domain, s.regions(), g.Caller(), hostPort(g.address, siteReadyPort), hostPort(g.address, sitePeerPort), g.advertised(), g.Metrics(),
		strings.Join(seeds, ","), s.Store, s.options.Settings)
	if err := os.WriteFile(g.Settings, []byte(text), 0o600); err != nil {
		return eris.Wrap(ErrFiles, err.Error())
	}
	return nil
}

// regions maps each failure domain to the one region, as YAML.
func (s *Site) regions() string {
	var domains []string
	for i := range max(s.options.Domains, 1) {
		domains = append(domains, fmt.Sprintf("z%d: r1", i+1))
	}
	return strings.Join(domains, ", ")
}

// Caller is where a gateway takes callers.
func (g *Gateway) Caller() string { return hostPort(g.address, siteCallerPort) }

// Metrics is where a gateway serves its metrics and state.
func (g *Gateway) Metrics() string { return hostPort(g.address, siteMetricsPort) }

// Source is the address from which a gateway dials others.
func (g *Gateway) Source() string { return g.address }

// advertised is where other gateways dial.
func (g *Gateway) advertised() string {
	if g.Link == nil {
		return hostPort(g.address, sitePeerPort)
	}
	return g.Link.Address()
}

// Start runs a gateway, also again after its end.
func (s *Site) Start(g *Gateway) error {
	var err error
	g.Process, err = s.Runner.Start(g.Name, "fulmarspindle", "gateway", "--settings", g.Settings)
	return err
}

// StartAll runs all gateways and waits until they are ready.
func (s *Site) StartAll(ctx context.Context) error {
	for _, g := range s.Gateways {
		if err := s.Start(g); err != nil {
			return err
		}
	}
	for _, g := range s.Gateways {
		if err := s.AwaitReady(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until a gateway says that it is ready.
func (s *Site) AwaitReady(ctx context.Context, g *Gateway) error {
	url := "http://" + hostPort(g.address, siteReadyPort) + "/fulmarspindle/ready"
	if err := await(ctx, func() bool { return status(ctx, url) == http.StatusOK }); err != nil {
		return eris.Wrapf(err, "%s", g.Name)
	}
	return nil
}

// Put writes an object of the store, whether it exists or not.
func (s *Site) Put(ctx context.Context, kind, name string, spec any) error {
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return eris.Wrap(ErrStore, err.Error())
	}
	url := fmt.Sprintf("http://%s/fulmarspindle/objects/%s/%s", s.Store, kind, name)
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return eris.Wrap(ErrStore, err.Error())
		}
		resp, err := controlClient.Do(req)
		if err != nil {
			return eris.Wrap(ErrStore, err.Error())
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return eris.Wrapf(ErrStore, "%s/%s", kind, name)
}

// Isolate cuts gateways off from all others, in both directions.
func (s *Site) Isolate(apart ...*Gateway) {
	inside := map[*Gateway]bool{}
	for _, g := range apart {
		inside[g] = true
	}
	for _, target := range s.Gateways {
		for _, source := range s.Gateways {
			if inside[target] != inside[source] {
				target.Link.Cut(source.Source())
			}
		}
	}
}

// Heal ends the faults of all links.
func (s *Site) Heal() error {
	for _, g := range s.Gateways {
		if err := g.Link.Heal(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and links.
func (s *Site) Close() {
	if s.Runner != nil {
		s.Runner.Close()
	}
	for _, g := range s.Gateways {
		if g.Link != nil {
			g.Link.Close()
		}
	}
	if s.Network != nil {
		s.Network.Close()
	}
}

// Throttle lets a process run for share of each period only, as on a machine with
// too little processor time, until ctx ends.
func (p *Process) Throttle(ctx context.Context, share float64, period time.Duration) {
	defer p.signal(syscall.SIGCONT)
	running := time.Duration(share * float64(period))
	for ctx.Err() == nil {
		p.signal(syscall.SIGCONT)
		pause(ctx, running)
		p.signal(syscall.SIGSTOP)
		pause(ctx, period-running)
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
