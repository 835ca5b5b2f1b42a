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

// maxEditRounds bounds how often an edit is rebased on a change that was
// accepted meanwhile.
const maxEditRounds = 5

// CheckInventory reads and checks an inventory file.
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

// ApplyInventory proposes the inventory of a file. A negative base stands for the
// generation in force.
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
	accepted, err := c.Apply(ctx, inv, generation, dryRun)
	if err != nil {
		return err
	}
	if dryRun {
		return printChanges(out, accepted.Changes)
	}
	_, err = fmt.Fprintf(out, "accepted: generation %d\n", accepted.Generation)
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

// PrintDiff prints what a file would change.
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
		var pretty bytes.Buffer
		if err := json.Indent(&pretty, body, "", "  "); err != nil {
			return eris.Wrap(ErrUnavailable, err.Error())
		}
		if _, err := fmt.Fprintf(out, "%s\n%s\n", path, pretty.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// DrainUpstream adds the rule that an upstream's VM is leaving.
func DrainUpstream(ctx context.Context, c *Client, id fleet.UpstreamID, out io.Writer) error {
	return editLeaving(ctx, c, id, out, func(rules []config.LeavingVM, vm fleet.VMID) []config.LeavingVM {
		if slices.ContainsFunc(rules, leavingIs(vm)) {
			return rules
		}
		return append(rules, config.LeavingVM{ID: vm})
	})
}

// UndrainUpstream removes the rule that an upstream's VM is leaving.
func UndrainUpstream(ctx context.Context, c *Client, id fleet.UpstreamID, out io.Writer) error {
	return editLeaving(ctx, c, id, out, func(rules []config.LeavingVM, vm fleet.VMID) []config.LeavingVM {
		return slices.DeleteFunc(rules, leavingIs(vm))
	})
}

func leavingIs(vm fleet.VMID) func(config.LeavingVM) bool {
	return func(l config.LeavingVM) bool { return l.ID == vm }
}

type leavingEdit func(rules []config.LeavingVM, vm fleet.VMID) []config.LeavingVM

// editLeaving applies an edit to the generation in force, and again to the
// next one if another change was accepted first.
func editLeaving(ctx context.Context, c *Client, id fleet.UpstreamID, out io.Writer, edit leavingEdit) error {
	var err error
	for range maxEditRounds {
		var accepted ChangeResponse
		accepted, err = tryEditLeaving(ctx, c, id, edit)
		if err == nil {
			_, err = fmt.Fprintf(out, "accepted: generation %d\n", accepted.Generation)
			return err
		}
		if !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

func tryEditLeaving(ctx context.Context, c *Client, id fleet.UpstreamID, edit leavingEdit) (ChangeResponse, error) {
	inv, generation, err := c.Config(ctx)
	if err != nil {
		return ChangeResponse{}, err
	}
	at := slices.IndexFunc(inv.Upstreams, func(u config.Upstream) bool { return u.ID == id })
	if at < 0 {
		return ChangeResponse{}, eris.Wrapf(ErrInvalid, "no upstream %q in the inventory", id)
	}
	inv.Rules.LeavingVMs = edit(inv.Rules.LeavingVMs, inv.Upstreams[at].VM)
	return c.Apply(ctx, inv, generation, false)
}
