// Command standin runs one stand-in for an external system: the platform, a model
// engine, a plain service, or the baseline router of the benchmarks.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

type platformCommand struct{}

// serverOptions are the options of the stand-ins for servers of the platform.
type serverOptions struct {
	ID     string `arg:"--id" help:"name of the registration; requests for another server are rejected"`
	ColdMs int64  `arg:"--cold-ms" help:"milliseconds for which the server is cold after its start"`
}

func (o serverOptions) cold() time.Duration { return time.Duration(o.ColdMs) * time.Millisecond }

type engineCommand struct {
	serverOptions
	Slots           int     `arg:"--slots" default:"8" help:"requests that run at once"`
	TokenIntervalMs float64 `arg:"--token-interval-ms" default:"5" help:"milliseconds for each output token"`
	PrefillMsPer1k  float64 `arg:"--prefill-ms-per-1k" default:"10" help:"milliseconds for 1,000 prompt tokens"`
	CacheBlocks     int     `arg:"--cache-blocks" default:"1024" help:"capacity of the prefix cache in blocks"`
	ChecksFencing   bool    `arg:"--checks-fencing" help:"refuse orders with an old fencing number"`
}

type serviceCommand struct {
	serverOptions
	Slots  int     `arg:"--slots" default:"8" help:"requests that run at once"`
	CostMs float64 `arg:"--cost-ms" default:"5" help:"service time of a request that names none"`
}

type baselineCommand struct {
	Targets []string `arg:"--targets,required" help:"upstreams, host:port"`
	Source  string   `arg:"--source,required" help:"IP address to connect from"`
}

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"object API and VM list"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"model engine"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"plain service"`
	Baseline *baselineCommand `arg:"subcommand:baseline" help:"router that benchmarks compare with"`
	Listen   string           `arg:"--listen,required" help:"address to serve on, host:port"`
	Control  string           `arg:"--control,required" help:"address of the control port, host:port"`
}

// Description returns the text that --help shows.
func (arguments) Description() string {
	return "Runs a stand-in for tests until SIGTERM."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	standIn := newStandIn(args)
	if standIn == nil {
		parser.Fail("want a subcommand: platform, engine, service or baseline")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := standin.Serve(ctx, standIn, args.Listen, args.Control)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newStandIn(args arguments) standin.StandIn {
	switch {
	case args.Platform != nil:
		return standin.NewPlatform()
	case args.Engine != nil:
		return newEngine(args.Engine)
	case args.Service != nil:
		return newService(args.Service)
	case args.Baseline != nil:
		return standin.NewBaseline(args.Baseline.Targets, args.Baseline.Source)
	default:
		return nil
	}
}

func newService(command *serviceCommand) standin.StandIn {
	return standin.NewService(standin.ServiceOptions{
		ID:       command.ID,
		Slots:    command.Slots,
		Cold:     command.cold(),
		Switches: standin.ServiceSwitches{CostMs: command.CostMs},
	})
}

func newEngine(command *engineCommand) standin.StandIn {
	switches := standin.DefaultEngineSwitches()
	switches.TokenIntervalMs = command.TokenIntervalMs
	switches.PrefillMsPer1k = command.PrefillMsPer1k
	return standin.NewEngine(standin.EngineOptions{
		ID:            command.ID,
		Cold:          command.cold(),
		Slots:         command.Slots,
		ChecksFencing: command.ChecksFencing,
		CacheBlocks:   command.CacheBlocks,
		Switches:      switches,
	})
}
