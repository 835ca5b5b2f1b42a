// Command bench measures a fleet of router and sidecar processes in front of
// stand-in upstreams, and prints one line of JSON for each figure.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"fulmarspindle.example/fulmarspindle/e2e/bench"
)

type arguments struct {
	Scenario []string `arg:"--scenario" help:"scenarios to run; all by default"`
	Seconds  float64  `arg:"--seconds" default:"12" help:"length of the measured window"`
	Warmup   float64  `arg:"--warmup" default:"8" help:"seconds from the callers' start to the window"`
	Cut      float64  `arg:"--cut" default:"8" help:"seconds of the cut in region_cut"`
	Baseline bool     `arg:"--baseline" help:"run the baseline beside each scenario"`
	Out      string   `arg:"--out" help:"file that gets the figures too"`
	Markdown string   `arg:"--markdown" help:"render the figures of this file as a table, and run nothing"`
	Commit   string   `arg:"--commit" help:"commit to name in the table"`
}

// Description returns the text that --help shows.
func (arguments) Description() string {
	return "Measures a fleet on loopback. The exit status is 0 also if targets are missed."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := execute(ctx, args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func execute(ctx context.Context, args arguments) error {
	if args.Markdown != "" {
		return render(args)
	}
	out := io.Writer(os.Stdout)
	if args.Out != "" {
		file, err := os.Create(args.Out)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		out = io.MultiWriter(os.Stdout, file)
	}
	return runAll(ctx, args, out)
}

func runAll(ctx context.Context, args arguments, out io.Writer) error {
	options := bench.Options{Window: seconds(args.Seconds), Warmup: seconds(args.Warmup), Baseline: args.Baseline}
	for _, b := range bench.Benchmarks(seconds(args.Cut)) {
		if len(args.Scenario) > 0 && !slices.Contains(args.Scenario, b.Name) {
			continue
		}
		figures, err := b.Run(ctx, options)
		if err != nil {
			return err
		}
		for _, figure := range figures {
			if err := figure.Write(out); err != nil {
				return err
			}
		}
	}
	return nil
}

func render(args arguments) error {
	file, err := os.Open(args.Markdown)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	figures, err := bench.ReadFigures(file)
	if err != nil {
		return err
	}
	fmt.Printf("## Commit %s\n\n%s", args.Commit, bench.Markdown(figures))
	return nil
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
