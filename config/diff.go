package config

import (
	"cmp"
	"reflect"
	"slices"
	"strings"
)

// Section identifies a list of the inventory or a part of the rules.
type Section string

// Sections of a configuration.
const (
	SectionRegions        Section = "regions"
	SectionVMs            Section = "vms"
	SectionRouters        Section = "routers"
	SectionServices       Section = "services"
	SectionUpstreams      Section = "upstreams"
	SectionTeams          Section = "teams"
	SectionShares         Section = "rules.shares"
	SectionNonIdempotent  Section = "rules.non_idempotent"
	SectionLeavingVMs     Section = "rules.leaving_vms"
	SectionLimits         Section = "rules.limits"
	SectionSpillAfter     Section = "rules.spill_after"
	SectionClaimRetention Section = "rules.claim_retention"
)

// Change is a difference between two inventories.
type Change struct {
	Section Section `json:"section"`
	// ID identifies the item; empty for sections with a single value.
	ID   string     `json:"id,omitempty"`
	Kind ChangeKind `json:"kind"`
}

// ChangeKind is the kind of a change.
type ChangeKind string

// Kinds of changes.
const (
	Added    ChangeKind = "added"
	Removed  ChangeKind = "removed"
	Modified ChangeKind = "modified"
)

// Diff returns the changes from a to b, in the order of sections and sorted by
// identifier within each. The order of list items is ignored.
func Diff(a, b Inventory) []Change {
	var out []Change
	out = append(out, diffSection(SectionRegions, a.Regions, b.Regions, regionID)...)
	out = append(out, diffSection(SectionVMs, a.VMs, b.VMs, vmID)...)
	out = append(out, diffSection(SectionRouters, a.Routers, b.Routers, routerID)...)
	out = append(out, diffSection(SectionServices, a.Services, b.Services, serviceID)...)
	out = append(out, diffSection(SectionUpstreams, a.Upstreams, b.Upstreams, upstreamID)...)
	out = append(out, diffSection(SectionTeams, a.Teams, b.Teams, teamID)...)
	return append(out, diffRules(a.Rules, b.Rules)...)
}

func diffRules(a, b Rules) []Change {
	var out []Change
	out = append(out, diffSection(SectionShares, a.Shares, b.Shares, shareID)...)
	out = append(out, diffSection(SectionNonIdempotent, a.NonIdempotent, b.NonIdempotent, ruleID)...)
	out = append(out, diffSection(SectionLeavingVMs, a.LeavingVMs, b.LeavingVMs, leavingID)...)
	out = append(out, diffValue(SectionLimits, a.Limits, b.Limits)...)
	out = append(out, diffValue(SectionSpillAfter, a.SpillAfter, b.SpillAfter)...)
	return append(out, diffValue(SectionClaimRetention, a.ClaimRetention, b.ClaimRetention)...)
}

func diffValue[T comparable](section Section, a, b T) []Change {
	if a == b {
		return nil
	}
	return []Change{{Section: section, Kind: Modified}}
}

// diffSection returns the changes of one list, sorted by identifier.
func diffSection[T any](section Section, a, b []T, id func(T) string) []Change {
	before := make(map[string]T, len(a))
	for _, item := range a {
		before[id(item)] = item
	}
	var out []Change
	for _, item := range b {
		old, ok := before[id(item)]
		delete(before, id(item))
		switch {
		case !ok:
			out = append(out, Change{section, id(item), Added})
		case !sameItem(old, item):
			out = append(out, Change{section, id(item), Modified})
		}
	}
	for key := range before {
		out = append(out, Change{section, key, Removed})
	}
	slices.SortFunc(out, func(x, y Change) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// sameItem reports whether two structs are equal, treating nil and empty slices as
// equal.
func sameItem(a, b any) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		f, g := x.Field(i), y.Field(i)
		if f.Kind() == reflect.Slice && f.Len() == 0 && g.Len() == 0 {
			continue
		}
		if !reflect.DeepEqual(f.Interface(), g.Interface()) {
			return false
		}
	}
	return true
}

// ruleID identifies a rule by its whole content, so that an edited rule shows as one
// removed and one added.
func ruleID(r NonIdempotentRule) string {
	methods := slices.Sorted(slices.Values(r.Methods))
	return string(r.Service) + " " + strings.Join(methods, ",") + " " + r.PathPrefix
}

func leavingID(v LeavingVM) string { return string(v.ID) }
