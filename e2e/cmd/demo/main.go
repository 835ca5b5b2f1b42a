// Command demo runs the fleet of an example inventory with stand-in upstreams, sends
// a few requests to it as callers would, and prints the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	requestsTimeout = 90 * time.Second
	// requestTeams is the number of teams that send requests.
	requestTeams = 2
	// requestsPerTeam is the number of completions that each team requests.
	requestsPerTeam = 3
	maxTokens       = 24
)

var errDemo = eris.New("demo: unexpected response")

type arguments struct {
	Inventory string `arg:"positional" default:"examples/warmtekas.yaml" help:"inventory file"`
	Hold      bool   `arg:"--hold" help:"keep the fleet running until an interrupt, and print how to reach it"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := demo(ctx, args.Inventory, args.Hold); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	return 0
}

// demo starts the fleet of an inventory and sends requests to it. If hold is set, it
// then keeps the fleet running until ctx ends.
func demo(ctx context.Context, path string, hold bool) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	inv, err := config.ParseInventory(data)
	if err != nil {
		return err
	}
	f, err := harness.NewFleet(ctx, inv, harness.Options{EngineArgs: []string{"--token-interval-ms", "5"}})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := runRequests(ctx, f, path); err != nil {
		return err
	}
	if hold {
		printAccess(f)
		<-ctx.Done()
	}
	fmt.Println("\nstopping every process")
	return nil
}

// runRequests starts the fleet, sends the requests and prints the fleet's status,
// within requestsTimeout.
func runRequests(ctx context.Context, f *harness.Fleet, path string) error {
	ctx, cancel := context.WithTimeout(ctx, requestsTimeout)
	defer cancel()
	started := time.Now()
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("fleet of %s: %d regions, %d routers, %d upstreams, %d teams, ready in %v\n\n", path,
		len(f.Inventory.Regions), len(f.Routers), len(f.Upstreams), len(f.Inventory.Teams), time.Since(started).Round(time.Millisecond))
	if err := sendCompletions(ctx, f); err != nil {
		return err
	}
	if err := sendOrder(ctx, f); err != nil {
		return err
	}
	return printStatus(ctx, f)
}

// printAccess prints shell variables with the addresses and keys that callers and
// operators need.
func printAccess(f *harness.Fleet) {
	fmt.Println("\nThe fleet runs until an interrupt. In another shell:")
	fmt.Printf("export CALLER=%s\n", f.Routers[0].URL())
	fmt.Printf("export KEY=%s\n", harness.TeamKey(f.Inventory.Teams[0].ID))
	fmt.Printf("export FULMARSPINDLE_ADMIN=%s\n", f.Routers[0].AdminURL())
	fmt.Printf("export FULMARSPINDLE_TOKEN=%s\n", harness.AdminToken)
	fmt.Printf("export SIDECAR=%s\n", f.Upstreams[0].SidecarAdminURL())
	fmt.Printf("export PLATFORM_CONTROL=%s\n", f.Platform.URL())
}

// sendCompletions sends streamed and unstreamed requests through the routers in turn.
func sendCompletions(ctx context.Context, f *harness.Fleet) error {
	model, err := serviceOfKind(f, config.KindModel)
	if err != nil {
		return err
	}
	for i, team := range f.Inventory.Teams[:requestTeams] {
		for n := range requestsPerTeam {
			router := f.Routers[(i+n)%len(f.Routers)]
			client := f.Client(router, team.ID)
			req := standin.CompletionRequest{
				Model:     model,
				Prompt:    fmt.Sprintf("question %d of %s", n, team.ID),
				MaxTokens: maxTokens,
				Stream:    n%2 == 0,
			}
			answer := client.Complete(ctx, req, nil)
			client.Close()
			if err := harness.VerifyCompletion(req, answer); err != nil {
				return err
			}
			fmt.Printf("%-12s via %-14s stream=%-5t %d bytes, first byte after %v, whole after %v\n", team.ID, router.ID,
				req.Stream, len(answer.Body), answer.FirstByte.Round(time.Millisecond), answer.Total.Round(time.Millisecond))
		}
	}
	return nil
}

// sendOrder sends one non-idempotent request twice, through the first and the last
// router.
func sendOrder(ctx context.Context, f *harness.Fleet) error {
	rules := f.Inventory.Rules.NonIdempotent
	if len(rules) == 0 {
		return eris.Wrap(errDemo, "the inventory has no non-idempotent requests")
	}
	service, path := string(rules[0].Service), rules[0].PathPrefix
	fmt.Println()
	team := f.Inventory.Teams[0].ID
	for _, router := range []*harness.Router{f.Routers[0], f.Routers[len(f.Routers)-1]} {
		client := f.Client(router, team)
		answer := client.CallService(ctx, "POST", service, path, "demo-order-1", []byte(`{"cost_ms":20}`))
		client.Close()
		if answer.Err != nil {
			return answer.Err
		}
		if answer.Outcome != harness.OutcomeComplete {
			return eris.Wrapf(errDemo, "order: status %d, outcome %q: %s", answer.Status, answer.Outcome, answer.Body)
		}
		fmt.Printf("order with key demo-order-1 via %-14s status %d, outcome %s, %s\n", router.ID,
			answer.Status, answer.Outcome, strings.TrimSpace(string(answer.Body)))
	}
	return nil
}

func printStatus(ctx context.Context, f *harness.Fleet) error {
	out, err := f.Run(ctx, "status", "--admin", f.Routers[0].AdminURL(), "--token", harness.AdminToken)
	if err != nil {
		return err
	}
	fmt.Printf("\nstatus of %s\n%s", f.Routers[0].ID, out)
	return nil
}

func serviceOfKind(f *harness.Fleet, kind config.ServiceKind) (string, error) {
	for _, service := range f.Inventory.Services {
		if service.Kind == kind {
			return string(service.ID), nil
		}
	}
	return "", eris.Wrapf(errDemo, "the inventory has no service of kind %s", kind)
}
