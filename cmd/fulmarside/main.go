// Command fulmarside runs the sidecar of one upstream.
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
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/sidecar"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// Exit codes.
const (
	exitFailure = 1
	// exitUsage reports invalid arguments or settings.
	exitUsage = 2
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"YAML file with the sidecar's settings"`
}

// Version implements arg.Versioned.
func (arguments) Version() string { return "fulmarside " + telemetry.Version }

// Description implements arg.Described.
func (arguments) Description() string {
	return "fulmarside runs beside one upstream and grants its slots to waiting requests."
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var args arguments
	arg.MustParse(&args)
	err := serve(ctx, args.Settings)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "fulmarside:", err)
	if errors.Is(err, config.ErrInvalid) {
		return exitUsage
	}
	return exitFailure
}

// serve runs a sidecar until ctx ends.
func serve(ctx context.Context, path string) error {
	settings, err := config.LoadSidecarSettings(path)
	if err != nil {
		return err
	}
	background := context.WithoutCancel(ctx)
	log, flush, err := node.StartTelemetry(background, settings.ID, settings.Log, settings.Traces)
	if err != nil {
		return err
	}
	defer flush()
	var tlsConfigs sidecar.TLS
	tlsConfigs.PeerServer, tlsConfigs.PeerClient, err = node.PeerTLS(settings.TLS.Peer)
	if err != nil {
		return err
	}
	ln, err := node.Listen(settings.Listen.Peer, nil)
	if err != nil {
		return err
	}
	adminLn, err := node.Listen(settings.Listen.Admin, nil)
	if err != nil {
		return err
	}
	return sidecar.New(background, settings, tlsConfigs, log.Logger).Run(ctx, ln, adminLn)
}
