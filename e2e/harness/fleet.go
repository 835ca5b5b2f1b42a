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
	// firstIncarnation is the VM incarnation that a fleet starts with.
	firstIncarnation = 1
	// Paths of the admin listeners.
	livePath  = "/healthz"
	readyPath = "/readyz"
	// Names of the binaries.
	standinBinary = "standin"
	routerBinary  = "fulmarspindle"
	sidecarBinary = "fulmarside"
	// tailBytes bounds what LogTails gives of one log.
	logTailBytes = 4 << 10
)

// Options set how a fleet runs.
type Options struct {
	// Proxied puts a fault proxy in front of each peer listener and of the
	// platform, one for each router.
	Proxied bool
	// Baseline runs the stand-in's baseline routers in the product's place,
	// without sidecars and platform.
	Baseline bool
	// EngineArgs and ServiceArgs are further arguments of the stand-ins.
	EngineArgs  []string
	ServiceArgs []string
	// EditRouter and EditSidecar change settings ahead of the start.
	EditRouter  func(*config.RouterSettings)
	EditSidecar func(*config.SidecarSettings)
	// LogLevel is that of the product's processes; empty means info.
	LogLevel string
}

func (o Options) logLevel() string {
	if o.LogLevel == "" {
		return "info"
	}
	return o.LogLevel
}

// Router is a router of a fleet.
type Router struct {
	ID       fleet.NodeID
	VM       config.VM
	process  *Process
	settings string
}

// Process returns the router's present or last process.
func (r *Router) Process() *Process {
	return r.process
}

// URL is where callers reach the router.
func (r *Router) URL() string {
	return "http://" + r.VM.Address + callerPort
}

// AdminURL is where operators reach the router.
func (r *Router) AdminURL() string {
	return "http://" + r.VM.Address + adminPort
}

// Upstream is an upstream stand-in of a fleet with its sidecar.
type Upstream struct {
	ID      fleet.UpstreamID
	Service config.Service
	VM      config.VM
	// Incarnation is that of the VM. The sidecar has it from its next start on.
	Incarnation uint64
	// Control is the control port of the stand-in.
	Control    ControlClient
	standIn    *Process
	sidecar    *Process
	definition config.Upstream
}

// Engine returns the present or last process of the stand-in.
func (u *Upstream) StandIn() *Process {
	return u.standIn
}

// Sidecar returns the present or last process of the sidecar.
func (u *Upstream) Sidecar() *Process {
	return u.sidecar
}

// URL is where the stand-in itself serves.
func (u *Upstream) URL() string {
	return "http://" + u.VM.Address + servePort
}

// SidecarAdminURL is the sidecar's admin listener.
func (u *Upstream) SidecarAdminURL() string {
	return "http://" + u.VM.Address + adminPort
}

// Fleet is a fleet of processes on loopback addresses.
type Fleet struct {
	Inventory config.Inventory
	Routers   []*Router
	Upstreams []*Upstream
	// Platform is the control port of the platform stand-in.
	Platform ControlClient
	Links    *Links

	options         Options
	dir             string
	network         *Network
	runner          *Runner
	platformAddress string
	platform        *Process
}

// NewFleet places the inventory on loopback addresses and writes all settings.
// It starts nothing but the fault proxies. Close must be called.
func NewFleet(ctx context.Context, inv config.Inventory, options Options) (*Fleet, error) {
	f := &Fleet{options: options, Links: newLinks()}
	if err := f.prepare(ctx, inv); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Start starts every process, applies the inventory and waits until all
// routers are ready.
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

// StartPlatform starts the platform stand-in with every VM live.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	var err error
	f.platform, err = f.startStandIn(ctx, "platform", f.platformAddress, "platform")
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

// StartSidecar starts the sidecar of an upstream and waits until it is live.
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

// StartRouter starts a router and waits until it is live. It is ready only
// once it has a configuration.
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

// Apply has the first router accept an inventory, by the operators' command.
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

// Run runs an operators' command of the router binary.
func (f *Fleet) Run(ctx context.Context, args ...string) (string, error) {
	return f.runner.Run(ctx, routerBinary, args...)
}

// Client returns a caller of one router in a team's name.
func (f *Fleet) Client(router *Router, team fleet.TeamID) *Client {
	return NewClient(router.URL(), TeamKey(team))
}

// Dir holds the settings and the logs of the processes until Close.
func (f *Fleet) Dir() string {
	return f.dir
}

// LogTails returns the end of each process's log, for a failed test's report.
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

// Close ends every process and proxy and removes the files.
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
