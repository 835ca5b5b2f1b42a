package config

import (
	"fmt"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// references checks that identifiers are unique and that what refers to an
// item finds it.
type references struct {
	issues   []issue
	domains  map[fleet.Location]bool
	regions  map[fleet.RegionID]bool
	vms      map[fleet.VMID]bool
	services map[fleet.ServiceID]bool
	teams    map[fleet.TeamID]bool
	nodes    map[fleet.NodeID]bool
}

func checkReferences(inv Inventory) []issue {
	r := &references{
		domains:  make(map[fleet.Location]bool),
		regions:  make(map[fleet.RegionID]bool),
		vms:      make(map[fleet.VMID]bool),
		services: make(map[fleet.ServiceID]bool),
		teams:    make(map[fleet.TeamID]bool),
		nodes:    make(map[fleet.NodeID]bool),
	}
	r.checkPlaces(inv)
	r.checkServices(inv)
	r.checkTeams(inv.Teams)
	r.checkRules(inv.Rules)
	r.checkClaimRetention(inv)
	return r.issues[:min(len(r.issues), maxIssues)]
}

func (r *references) report(expected, got, keyFormat string, args ...any) {
	key := fmt.Sprintf(keyFormat, args...)
	r.issues = append(r.issues, issue{key: key, expected: expected, got: got})
}

// insertUnique adds an identifier and reports one that is there.
func insertUnique[K ~string](r *references, seen map[K]bool, id K, keyFormat string, args ...any) {
	if seen[id] {
		r.report("a unique identifier", string(id), keyFormat, args...)
	}
	seen[id] = true
}

// requireKnown reports an identifier that does not exist.
func requireKnown[K ~string](r *references, known map[K]bool, id K, kind, keyFormat string, args ...any) {
	if !known[id] {
		r.report("the id of a "+kind+" of the inventory", string(id), keyFormat, args...)
	}
}

func (r *references) checkPlaces(inv Inventory) {
	for i, region := range inv.Regions {
		insertUnique(r, r.regions, region.ID, "regions[%d].id", i)
		seen := make(map[fleet.FailureDomainID]bool)
		for j, domain := range region.FailureDomains {
			insertUnique(r, seen, domain, "regions[%d].failure_domains[%d]", i, j)
			r.domains[fleet.Location{Region: region.ID, FailureDomain: domain}] = true
		}
	}
	for i, vm := range inv.VMs {
		insertUnique(r, r.vms, vm.ID, "vms[%d].id", i)
		requireKnown(r, r.regions, vm.Region, "region", "vms[%d].region", i)
		if r.regions[vm.Region] && !r.domains[fleet.Location{Region: vm.Region, FailureDomain: vm.FailureDomain}] {
			r.report("a failure domain of region "+string(vm.Region), string(vm.FailureDomain), "vms[%d].failure_domain", i)
		}
	}
	for i, router := range inv.Routers {
		insertUnique(r, r.nodes, router.ID, "routers[%d].id", i)
		requireKnown(r, r.vms, router.VM, "VM", "routers[%d].vm", i)
	}
}

// checkServices demands that sidecars and routers share no identifier: an
// upstream's sidecar has the upstream's identifier.
func (r *references) checkServices(inv Inventory) {
	for i, service := range inv.Services {
		insertUnique(r, r.services, service.ID, "services[%d].id", i)
	}
	for i, upstream := range inv.Upstreams {
		insertUnique(r, r.nodes, fleet.NodeID(upstream.ID), "upstreams[%d].id", i)
		requireKnown(r, r.vms, upstream.VM, "VM", "upstreams[%d].vm", i)
		requireKnown(r, r.services, upstream.Service, "service", "upstreams[%d].service", i)
	}
}

func (r *references) checkTeams(teams []Team) {
	hashes := make(map[string]bool)
	for i, team := range teams {
		insertUnique(r, r.teams, team.ID, "teams[%d].id", i)
		for j, hash := range team.KeyHashes {
			insertUnique(r, hashes, hash, "teams[%d].key_hashes[%d]", i, j)
		}
	}
}

func (r *references) checkRules(rules Rules) {
	shares := make(map[shareKey]bool)
	for i, share := range rules.Shares {
		requireKnown(r, r.teams, share.Team, "team", "rules.shares[%d].team", i)
		if share.Service != "" {
			requireKnown(r, r.services, share.Service, "service", "rules.shares[%d].service", i)
		}
		key := shareKey{share.Service, share.Team}
		if shares[key] {
			r.report("one share for each team and service", string(share.Team), "rules.shares[%d].team", i)
		}
		shares[key] = true
	}
	for i, rule := range rules.NonIdempotent {
		requireKnown(r, r.services, rule.Service, "service", "rules.non_idempotent[%d].service", i)
	}
	leaving := make(map[fleet.VMID]bool)
	for i, vm := range rules.LeavingVMs {
		insertUnique(r, leaving, vm.ID, "rules.leaving_vms[%d].id", i)
		requireKnown(r, r.vms, vm.ID, "VM", "rules.leaving_vms[%d].id", i)
	}
}

// claimMargin is how much longer than the life of a request its claim is kept.
const claimMargin = time.Minute

// checkClaimRetention demands that claims outlive their requests, which wait
// for at most MaxDuration and run for at most MaxDuration.
func (r *references) checkClaimRetention(inv Inventory) {
	longest := Duration(0)
	for _, service := range inv.Services {
		named := func(rule NonIdempotentRule) bool { return rule.Service == service.ID }
		if slices.ContainsFunc(inv.Rules.NonIdempotent, named) {
			longest = max(longest, service.MaxDuration)
		}
	}
	least := 2*longest.Std() + claimMargin
	if longest > 0 && inv.Rules.ClaimRetention.Std() < least {
		expected := "at least twice the longest max_duration of a non-idempotent service and a minute: " + least.String()
		r.report(expected, inv.Rules.ClaimRetention.Std().String(), "rules.claim_retention")
	}
}
