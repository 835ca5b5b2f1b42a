package harness

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// startBaseline starts the upstreams and the baseline routers. It requires
// Options.Proxied: the routers connect to the upstreams' sidecar addresses, where
// only the fault proxies listen.
func (f *Fleet) startBaseline(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for _, upstream := range f.Upstreams {
		group.Go(func() error { return f.StartUpstream(groupCtx, upstream) })
	}
	for _, router := range f.Routers {
		group.Go(func() error { return f.startBaselineRouter(groupCtx, router) })
	}
	return group.Wait()
}

func (f *Fleet) startBaselineRouter(ctx context.Context, r *Router) error {
	args := []string{
		"--listen", r.VM.Address + callerPort,
		"--control", r.VM.Address + adminPort,
		"baseline",
		"--source", r.VM.Address,
		"--targets",
	}
	for _, upstream := range f.Inventory.Upstreams {
		args = append(args, upstream.SidecarAddress)
	}
	var err error
	r.process, err = f.runner.Start(string(r.ID), standinBinary, args...)
	if err != nil {
		return err
	}
	return AwaitHTTP(ctx, r.AdminURL()+"/control", r.process)
}
