package config

import (
	"fmt"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// referenceChecker checks that identifiers are unique and that references point to
// existing items.
type referenceChecker struct {
	issues   []unlocatedIssue
	domains  map[fleet.Location]bool
	regions  map[fleet.RegionID]bool
	vms      map[fleet.VMID]bool
	services map[fleet.ServiceID]bool
	teams    map[fleet.TeamID]bool
	nodes    map[fleet.NodeID]bool
}

func checkReferences(inv Inventory) []unlocatedIssue {
	r := &referenceChecker{
		domains:  make(map[fleet.Location]bool),
		regions:  make(map[fleet.RegionID]bool),
		vms:      make(map[fleet.VMID]bool),
		services: make(map[fleet.ServiceID]bool),
		teams:    make(map[fleet.TeamID]bool),
		nodes:    make(map[fleet.NodeID]bool),
	}
	r.checkTopology(inv)
	r.checkServices(inv)
	r.checkTeams(inv.Teams)
	r.checkRules(inv.Rules)
	r.checkClaimRetention(inv)
	return r.issues[:min(len(r.issues), maxIssues)]
}

func (r *referenceChecker) report(expected, got, keyFormat string, args ...any) {
	key := fmt.Sprintf(keyFormat, args...)
	r.issues = append(r.issues, unlocatedIssue{key: key, expected: expected, got: got})
}

// insertUnique adds an identifier to seen and reports it if it is a duplicate.
func insertUnique[K ~string](r *referenceChecker, seen map[K]bool, id K, keyFormat string, args ...any) {
	if seen[id] {
		r.report("a unique identifier", string(id), keyFormat, args...)
	}
	seen[id] = true
}

// requireKnown reports a reference to an unknown identifier.
func requireKnown[K ~string](r *referenceChecker, known map[K]bool, id K, kind, keyFormat string, args ...any) {
	if !known[id] {
		r.report("the id of a "+kind+" of the inventory", string(id), keyFormat, args...)
	}
}

func (r *referenceChecker) checkTopology(inv Inventory) {
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

// checkServices checks services and upstreams. The identifiers of upstreams must differ
// from those of routers too, because a sidecar has the identifier of its upstream and
// shares the namespace of nodes.
func (r *referenceChecker) checkServices(inv Inventory) {
	for i, service := range inv.Services {
		insertUnique(r, r.services, service.ID, "services[%d].id", i)
		r.checkHomeRegions(service.Regions, "services", i)
	}
	for i, upstream := range inv.Upstreams {
		insertUnique(r, r.nodes, fleet.NodeID(upstream.ID), "upstreams[%d].id", i)
		requireKnown(r, r.vms, upstream.VM, "VM", "upstreams[%d].vm", i)
		requireKnown(r, r.services, upstream.Service, "service", "upstreams[%d].service", i)
	}
}

func (r *referenceChecker) checkTeams(teams []Team) {
	hashes := make(map[string]bool)
	for i, team := range teams {
		insertUnique(r, r.teams, team.ID, "teams[%d].id", i)
		r.checkHomeRegions(team.Regions, "teams", i)
		for j, hash := range team.KeyHashes {
			insertUnique(r, hashes, hash, "teams[%d].key_hashes[%d]", i, j)
		}
	}
}

// checkHomeRegions checks the home regions of a service or a team. Routers do not restrict
// requests to regions, so home regions would be ignored if they were accepted.
func (r *referenceChecker) checkHomeRegions(regions []fleet.RegionID, list string, index int) {
	for i, region := range regions {
		requireKnown(r, r.regions, region, "region", "%s[%d].regions[%d]", list, index, i)
	}
	if len(regions) > 0 {
		r.report("no home regions: routers do not support them yet", fmt.Sprint(regions), "%s[%d].regions", list, index)
	}
}

func (r *referenceChecker) checkRules(rules Rules) {
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

// claimRetentionMargin is the minimum time for which a claim outlives its request.
const claimRetentionMargin = time.Minute

// checkClaimRetention checks that claims outlive their requests. A request waits for at
// most MaxDuration and then runs for at most MaxDuration.
func (r *referenceChecker) checkClaimRetention(inv Inventory) {
	longest := Duration(0)
	for _, service := range inv.Services {
		appliesTo := func(rule NonIdempotentRule) bool { return rule.Service == service.ID }
		if slices.ContainsFunc(inv.Rules.NonIdempotent, appliesTo) {
			longest = max(longest, service.MaxDuration)
		}
	}
	minimum := 2*longest.Std() + claimRetentionMargin
	if longest > 0 && inv.Rules.ClaimRetention.Std() < minimum {
		expected := "at least twice the longest max_duration of a non-idempotent service and a minute: " + minimum.String()
		r.report(expected, inv.Rules.ClaimRetention.Std().String(), "rules.claim_retention")
	}
}
