package harness

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// firstIncarnation is the initial incarnation of every VM.
	firstIncarnation = 1
	// Health endpoints of the admin listeners.
	livePath  = "/healthz"
	readyPath = "/readyz"
	// Names of the binaries.
	standinBinary = "standin"
	routerBinary  = "fulmarspindle"
	sidecarBinary = "fulmarside"
	// logTailBytes limits the part of one log that LogTails returns.
	logTailBytes = 4 << 10
)

// Options configures a Fleet.
type Options struct {
	// Proxied puts a fault proxy in front of each peer listener, and one per router
	// in front of the platform.
	Proxied bool
	// Baseline runs baseline routers in place of the product's, without sidecars
	// and platform. It requires Proxied.
	Baseline bool
	// EngineArgs and ServiceArgs are additional arguments of the stand-ins.
	EngineArgs  []string
	ServiceArgs []string
	// EditRouter and EditSidecar modify settings before they are written.
	EditRouter  func(*config.RouterSettings)
	EditSidecar func(*config.SidecarSettings)
	// LogLevel is the log level of routers and sidecars; empty means info.
	LogLevel string
}

func (o Options) logLevel() string {
	if o.LogLevel == "" {
		return "info"
	}
	return o.LogLevel
}

// Router is a router of a Fleet.
type Router struct {
	ID       fleet.NodeID
	VM       config.VM
	process  *Process
	settings string
}

// Process returns the router's current or last process.
func (r *Router) Process() *Process {
	return r.process
}

// URL returns the base URL of the router's caller listener.
func (r *Router) URL() string {
	return "http://" + r.VM.Address + callerPort
}

// AdminURL returns the base URL of the router's admin listener.
func (r *Router) AdminURL() string {
	return "http://" + r.VM.Address + adminPort
}

// Upstream is an upstream stand-in of a Fleet with its sidecar.
type Upstream struct {
	ID      fleet.UpstreamID
	Service config.Service
	VM      config.VM
	// Incarnation is the incarnation of the VM. A change takes effect when the
	// sidecar is next started.
	Incarnation uint64
	// Control is a client of the stand-in's control port.
	Control    ControlClient
	standIn    *Process
	sidecar    *Process
	definition config.Upstream
}

// StandIn returns the current or last process of the stand-in.
func (u *Upstream) StandIn() *Process {
	return u.standIn
}

// Sidecar returns the current or last process of the sidecar.
func (u *Upstream) Sidecar() *Process {
	return u.sidecar
}

// URL returns the base URL of the stand-in, which bypasses the sidecar.
func (u *Upstream) URL() string {
	return "http://" + u.VM.Address + servePort
}

// SidecarAdminURL returns the base URL of the sidecar's admin listener.
func (u *Upstream) SidecarAdminURL() string {
	return "http://" + u.VM.Address + adminPort
}

// Fleet runs routers, sidecars and stand-ins as processes on loopback addresses.
type Fleet struct {
	Inventory config.Inventory
	Routers   []*Router
	Upstreams []*Upstream
	// Platform is a client of the platform stand-in's control port.
	Platform ControlClient
	Links    *Links

	options         Options
	dir             string
	network         *Network
	runner          *Runner
	platformAddress string
	platformProcess *Process
}

// NewFleet assigns loopback addresses to the inventory, writes the routers'
// settings and starts the fault proxies, but no processes. The caller must call
// Close.
func NewFleet(ctx context.Context, inv config.Inventory, options Options) (*Fleet, error) {
	f := &Fleet{options: options, Links: newLinks()}
	if err := f.prepare(ctx, inv); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Start starts all processes, applies the inventory and waits until all routers are
// ready.
func (f *Fleet) Start(ctx context.Context) error {
	if f.options.Baseline {
		return f.startBaseline(ctx)
	}
	if err := f.StartPlatform(ctx); err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, upstream := range f.Upstreams {
		group.Go(func() error {
			if err := f.StartUpstream(groupCtx, upstream); err != nil {
				return err
			}
			return f.StartSidecar(groupCtx, upstream)
		})
	}
	for _, router := range f.Routers {
		group.Go(func() error { return f.StartRouter(groupCtx, router) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if err := f.Apply(ctx, f.Inventory); err != nil {
		return err
	}
	return f.AwaitReady(ctx)
}

// StartPlatform starts the platform stand-in and sets a VM list with every VM live.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	var err error
	f.platformProcess, err = f.startStandIn(ctx, "platform", f.platformAddress, "platform")
	if err != nil {
		return err
	}
	return f.Platform.SetVMs(ctx, f.LiveVMs())
}

// LiveVMs returns a VM list with every VM live in its first incarnation.
func (f *Fleet) LiveVMs() []standin.VM {
	var vms []standin.VM
	for _, vm := range f.Inventory.VMs {
		vms = append(vms, standin.VM{
			ID:          string(vm.ID),
			Incarnation: firstIncarnation,
			Address:     vm.Address,
			State:       "live",
		})
	}
	return vms
}

// StartUpstream starts the stand-in of an upstream.
func (f *Fleet) StartUpstream(ctx context.Context, u *Upstream) error {
	args := []string{"engine", "--slots", strconv.Itoa(u.definition.Slots)}
	if u.definition.ChecksFencing {
		args = append(args, "--checks-fencing")
	}
	args = append(args, f.options.EngineArgs...)
	if u.Service.Kind == config.KindPlain {
		args = append([]string{"service", "--slots", strconv.Itoa(u.definition.Slots)}, f.options.ServiceArgs...)
	}
	var err error
	u.standIn, err = f.startStandIn(ctx, string(u.ID)+"-upstream", u.VM.Address, args...)
	return err
}

func (f *Fleet) startStandIn(ctx context.Context, name, address string, command ...string) (*Process, error) {
	args := append([]string{"--listen", address + servePort, "--control", address + controlPort}, command...)
	p, err := f.runner.Start(name, standinBinary, args...)
	if err != nil {
		return nil, err
	}
	return p, AwaitHTTP(ctx, "http://"+address+controlPort+"/control", p)
}

// StartSidecar writes the settings of an upstream's sidecar, starts it and waits
// until it is live.
func (f *Fleet) StartSidecar(ctx context.Context, u *Upstream) error {
	settings, err := writeYAML(f.dir, string(u.ID), sidecarSettings(u, f.options))
	if err != nil {
		return err
	}
	u.sidecar, err = f.runner.Start(string(u.ID), sidecarBinary, "--settings", settings)
	if err != nil {
		return err
	}
	return AwaitHTTP(ctx, u.SidecarAdminURL()+livePath, u.sidecar)
}

// StartRouter starts a router and waits until it is live. It becomes ready once it
// has a configuration.
func (f *Fleet) StartRouter(ctx context.Context, r *Router) error {
	if f.options.Baseline {
		return f.startBaselineRouter(ctx, r)
	}
	var err error
	r.process, err = f.runner.Start(string(r.ID), routerBinary, "serve", "--settings", r.settings)
	if err != nil {
		return err
	}
	return AwaitHTTP(ctx, r.AdminURL()+livePath, r.process)
}

// Apply submits an inventory to the first router with the command config apply.
func (f *Fleet) Apply(ctx context.Context, inv config.Inventory) error {
	path, err := writeYAML(f.dir, "inventory", inv)
	if err != nil {
		return err
	}
	_, err = f.runner.Run(ctx, routerBinary, "config", "apply",
		"--admin", f.Routers[0].AdminURL(), "--token", AdminToken, path)
	return err
}

// AwaitReady waits until every running router is ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	if f.options.Baseline {
		return nil
	}
	for _, router := range f.Routers {
		if router.process == nil || !router.process.Running() {
			continue
		}
		if err := AwaitHTTP(ctx, router.AdminURL()+readyPath, router.process); err != nil {
			return err
		}
	}
	return nil
}

// Run runs a command of the router binary and returns its output.
func (f *Fleet) Run(ctx context.Context, args ...string) (string, error) {
	return f.runner.Run(ctx, routerBinary, args...)
}

// Client returns a client that calls one router on behalf of a team.
func (f *Fleet) Client(router *Router, team fleet.TeamID) *Client {
	return NewClient(router.URL(), TeamKey(team))
}

// Dir returns the directory of the processes' settings and logs. Close removes it.
func (f *Fleet) Dir() string {
	return f.dir
}

// LogTails returns the end of the log of each router, sidecar and upstream, for the
// report of a failed test.
func (f *Fleet) LogTails() string {
	var b strings.Builder
	for _, router := range f.Routers {
		writeLogTail(&b, router.process)
	}
	for _, upstream := range f.Upstreams {
		writeLogTail(&b, upstream.sidecar)
		writeLogTail(&b, upstream.standIn)
	}
	return b.String()
}

func writeLogTail(b *strings.Builder, p *Process) {
	if p == nil {
		return
	}
	log := p.Log()
	log = log[max(0, len(log)-logTailBytes):]
	fmt.Fprintf(b, "--- %s (running: %t)\n%s\n", p.Name(), p.Running(), log)
}

// Close kills all processes, closes the fault proxies and removes Dir.
func (f *Fleet) Close() {
	if f.runner != nil {
		f.runner.Close()
	}
	f.Links.Close()
	if f.network != nil {
		f.network.Close()
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
