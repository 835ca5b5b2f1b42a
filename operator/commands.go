package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// maxUpdateAttempts is the maximum number of attempts to apply an edit, each to the
// generation in force, when other changes are accepted concurrently.
const maxUpdateAttempts = 5

// CheckInventory validates an inventory file and prints a summary.
func CheckInventory(path string, out io.Writer) error {
	inv, err := readInventory(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: valid: %d VMs, %d routers, %d services, %d upstreams, %d teams\n",
		path, len(inv.VMs), len(inv.Routers), len(inv.Services), len(inv.Upstreams), len(inv.Teams))
	return err
}

func readInventory(path string) (config.Inventory, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return config.Inventory{}, eris.Wrap(ErrInvalid, err.Error())
	}
	inv, err := config.ParseInventory(data)
	if err != nil {
		return config.Inventory{}, eris.Wrap(ErrInvalid, path+": "+err.Error())
	}
	return inv, nil
}

// ApplyInventory proposes the inventory in a file, edited from generation base; a
// negative base stands for the generation in force. A dry run prints the changes instead
// of applying them.
func ApplyInventory(ctx context.Context, c *Client, path string, base int64, dryRun bool, out io.Writer) error {
	inv, err := readInventory(path)
	if err != nil {
		return err
	}
	generation := uint64(max(base, 0))
	if base < 0 {
		if generation, err = c.Generation(ctx); err != nil {
			return err
		}
	}
	response, err := c.Apply(ctx, inv, generation, dryRun)
	if err != nil {
		return err
	}
	if dryRun {
		return printChanges(out, response.Changes)
	}
	_, err = fmt.Fprintf(out, "accepted: generation %d\n", response.Generation)
	return err
}

func printChanges(out io.Writer, changes []config.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintln(out, "no changes")
		return err
	}
	for _, change := range changes {
		if _, err := fmt.Fprintf(out, "%s %s %s\n", change.Kind, change.Section, change.ID); err != nil {
			return err
		}
	}
	return nil
}

// PrintInventory prints the inventory in force.
func PrintInventory(ctx context.Context, c *Client, out io.Writer) error {
	inv, generation, err := c.Config(ctx)
	if err != nil {
		return err
	}
	data, err := config.FormatInventory(inv)
	if err != nil {
		return eris.Wrap(ErrInvalid, err.Error())
	}
	_, err = fmt.Fprintf(out, "# generation %d\n%s", generation, data)
	return err
}

// PrintDiff prints the differences between the inventory in force and the one in a file.
func PrintDiff(ctx context.Context, c *Client, path string, out io.Writer) error {
	proposed, err := readInventory(path)
	if err != nil {
		return err
	}
	current, _, err := c.Config(ctx)
	if err != nil {
		return err
	}
	return printChanges(out, config.Diff(current, proposed))
}

// PrintStatus prints a router's status, upstreams, teams and suspects as JSON.
func PrintStatus(ctx context.Context, c *Client, out io.Writer) error {
	for _, path := range []string{"/v1/status", "/v1/upstreams", "/v1/teams", "/v1/suspects"} {
		body, err := c.Get(ctx, path)
		if err != nil {
			return err
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, body, "", "  "); err != nil {
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		if _, err := fmt.Fprintf(out, "%s\n%s\n", path, indented.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// DrainUpstream adds the upstream's VM to the inventory's leaving_vms rules, so that its
// upstreams get no new requests.
func DrainUpstream(ctx context.Context, c *Client, id fleet.UpstreamID, out io.Writer) error {
	return updateLeavingVMs(ctx, c, id, out, func(rules []config.LeavingVM, vm fleet.VMID) []config.LeavingVM {
		if slices.ContainsFunc(rules, matchesVM(vm)) {
			return rules
		}
		return append(rules, config.LeavingVM{ID: vm})
	})
}

// UndrainUpstream reverts DrainUpstream: it removes the upstream's VM from the
// leaving_vms rules.
func UndrainUpstream(ctx context.Context, c *Client, id fleet.UpstreamID, out io.Writer) error {
	return updateLeavingVMs(ctx, c, id, out, func(rules []config.LeavingVM, vm fleet.VMID) []config.LeavingVM {
		return slices.DeleteFunc(rules, matchesVM(vm))
	})
}

func matchesVM(vm fleet.VMID) func(config.LeavingVM) bool {
	return func(l config.LeavingVM) bool { return l.ID == vm }
}

// leavingVMsEdit returns the leaving_vms rules after an edit that concerns one VM.
type leavingVMsEdit func(rules []config.LeavingVM, vm fleet.VMID) []config.LeavingVM

// updateLeavingVMs applies an edit to the generation in force. If a concurrent change is
// accepted first, it retries with the new generation, up to maxUpdateAttempts times.
func updateLeavingVMs(ctx context.Context, c *Client, id fleet.UpstreamID, out io.Writer, edit leavingVMsEdit) error {
	var err error
	for range maxUpdateAttempts {
		var response ChangeResponse
		response, err = tryUpdateLeavingVMs(ctx, c, id, edit)
		if err == nil {
			_, err = fmt.Fprintf(out, "accepted: generation %d\n", response.Generation)
			return err
		}
		if !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

func tryUpdateLeavingVMs(ctx context.Context, c *Client, id fleet.UpstreamID, edit leavingVMsEdit) (ChangeResponse, error) {
	inv, generation, err := c.Config(ctx)
	if err != nil {
		return ChangeResponse{}, err
	}
	index := slices.IndexFunc(inv.Upstreams, func(u config.Upstream) bool { return u.ID == id })
	if index < 0 {
		return ChangeResponse{}, eris.Wrapf(ErrInvalid, "no upstream %q in the inventory", id)
	}
	inv.Rules.LeavingVMs = edit(inv.Rules.LeavingVMs, inv.Upstreams[index].VM)
	return c.Apply(ctx, inv, generation, false)
}
