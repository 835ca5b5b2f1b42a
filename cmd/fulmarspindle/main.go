// Command fulmarspindle runs a router or a gateway, and provides the commands for
// operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/operator"
	"fulmarspindle.example/fulmarspindle/platform"
	"fulmarspindle.example/fulmarspindle/router"
	"fulmarspindle.example/fulmarspindle/sighup"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// Exit codes.
const (
	exitFailure = 1
	// exitUsage reports invalid arguments, settings or inventories.
	exitUsage = 2
)

type serveCmd struct {
	Settings string `arg:"--settings,required" help:"YAML file with the router's settings"`
}

type gatewayCmd struct {
	Settings string `arg:"--settings,env:FULMARSPINDLE_CONFIG,required" help:"YAML file with the gateway's settings"`
}

type adminArgs struct {
	Admin string `arg:"--admin,env:FULMARSPINDLE_ADMIN,required" help:"URL of a router's admin API"`
	Token string `arg:"--token,env:FULMARSPINDLE_TOKEN,required" help:"admin token"`
}

type checkCmd struct {
	File string `arg:"positional,required" help:"inventory file"`
}

type applyCmd struct {
	adminArgs
	Base   int64  `arg:"--base" default:"-1" help:"generation that the file was edited from; default is the one in force"`
	DryRun bool   `arg:"--dry-run" help:"check and show the changes only"`
	File   string `arg:"positional,required" help:"inventory file"`
}

type getCmd struct{ adminArgs }

type diffCmd struct {
	adminArgs
	File string `arg:"positional,required" help:"inventory file"`
}

type configCmd struct {
	Check *checkCmd `arg:"subcommand:check" help:"check an inventory file"`
	Apply *applyCmd `arg:"subcommand:apply" help:"put an inventory in force"`
	Get   *getCmd   `arg:"subcommand:get" help:"print the inventory in force"`
	Diff  *diffCmd  `arg:"subcommand:diff" help:"show what a file would change"`
}

type statusCmd struct{ adminArgs }

type upstreamArgs struct {
	adminArgs
	ID string `arg:"positional,required" help:"upstream"`
}

type upstreamCmd struct {
	Drain  *upstreamArgs `arg:"subcommand:drain" help:"give the upstream's VM no new work"`
	Return *upstreamArgs `arg:"subcommand:return" help:"give the upstream's VM work again"`
}

type arguments struct {
	Serve    *serveCmd    `arg:"subcommand:serve" help:"run a router"`
	Gateway  *gatewayCmd  `arg:"subcommand:gateway" help:"run a router that calls upstreams directly"`
	Settings *settingsCmd `arg:"subcommand:settings" help:"check or print a gateway's settings"`
	State    *stateCmd    `arg:"subcommand:state" help:"print what a running gateway believes"`
	Config   *configCmd   `arg:"subcommand:config" help:"check, apply, print or compare the configuration"`
	Status   *statusCmd   `arg:"subcommand:status" help:"print a router's state"`
	Upstream *upstreamCmd `arg:"subcommand:upstream" help:"drain or return an upstream"`
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "fulmarspindle " + telemetry.Version }

// Description implements arg.Described.
func (arguments) Description() string {
	return "fulmarspindle routes the requests of teams to upstreams that they share fairly."
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var args arguments
	parser := arg.MustParse(&args)
	err := runCommand(ctx, &args)
	if errors.Is(err, errNoCommand) {
		parser.WriteHelp(os.Stderr)
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fulmarspindle:", err)
		return exitCode(err)
	}
	return 0
}

// runCommand runs the subcommand that was given.
func runCommand(ctx context.Context, args *arguments) error {
	if args.Gateway == nil {
		sighup.Reset()
	}
	switch {
	case args.Serve != nil:
		return serveRouter(ctx, args.Serve.Settings)
	case args.Gateway != nil:
		return serveGateway(ctx, args.Gateway.Settings)
	case args.Settings != nil:
		return settingsCommand(args.Settings, os.Stdout)
	case args.State != nil:
		return printState(ctx, args.State.Metrics, os.Stdout)
	case args.Config != nil:
		return configCommand(ctx, args.Config)
	case args.Status != nil:
		return operator.PrintStatus(ctx, args.Status.client(), os.Stdout)
	case args.Upstream != nil:
		return upstreamCommand(ctx, args.Upstream)
	}
	return errNoCommand
}

func (a adminArgs) client() *operator.Client { return operator.NewClient(a.Admin, a.Token) }

func configCommand(ctx context.Context, c *configCmd) error {
	switch {
	case c.Check != nil:
		return operator.CheckInventory(c.Check.File, os.Stdout)
	case c.Apply != nil:
		return operator.ApplyInventory(ctx, c.Apply.client(), c.Apply.File, c.Apply.Base, c.Apply.DryRun, os.Stdout)
	case c.Get != nil:
		return operator.PrintInventory(ctx, c.Get.client(), os.Stdout)
	case c.Diff != nil:
		return operator.PrintDiff(ctx, c.Diff.client(), c.Diff.File, os.Stdout)
	}
	return errNoCommand
}

func upstreamCommand(ctx context.Context, c *upstreamCmd) error {
	switch {
	case c.Drain != nil:
		return operator.DrainUpstream(ctx, c.Drain.client(), fleet.UpstreamID(c.Drain.ID), os.Stdout)
	case c.Return != nil:
		return operator.UndrainUpstream(ctx, c.Return.client(), fleet.UpstreamID(c.Return.ID), os.Stdout)
	}
	return errNoCommand
}

// serveRouter runs a router until ctx ends.
func serveRouter(ctx context.Context, path string) error {
	settings, err := config.LoadRouterSettings(path)
	if err != nil {
		return err
	}
	background := context.WithoutCancel(ctx)
	log, flush, err := node.StartTelemetry(background, settings.ID, settings.Log, settings.Traces)
	if err != nil {
		return err
	}
	defer flush()
	tlsConfigs, err := loadTLS(settings.TLS)
	if err != nil {
		return err
	}
	store, err := platform.NewClient(platform.Options{
		URL:     settings.Platform.URL,
		Token:   settings.Platform.Token,
		Timeout: settings.Platform.Timeout.Std(),
	})
	if err != nil {
		return err
	}
	listeners, err := router.Listen(settings.Listen, tlsConfigs)
	if err != nil {
		return err
	}
	return router.New(background, settings, tlsConfigs, store, log.Logger).Run(ctx, listeners)
}

// loadTLS returns the TLS configurations of a router's listeners and peer connections.
func loadTLS(t config.RouterTLS) (router.TLS, error) {
	var out router.TLS
	var err error
	if out.PeerServer, out.PeerClient, err = node.PeerTLS(t.Peer); err != nil {
		return out, err
	}
	if out.Caller, err = node.ServerTLS(t.Caller); err != nil {
		return out, err
	}
	out.Admin, err = node.ServerTLS(t.Admin)
	return out, err
}
