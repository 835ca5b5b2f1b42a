package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"strings"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// DefaultWeight is the weight of a team that has no share.
const DefaultWeight = 1.0

type shareKey struct {
	service fleet.ServiceID
	team    fleet.TeamID
}

type teamKey struct {
	hash [sha256.Size]byte
	team fleet.TeamID
}

// Index provides the lookups of the request path in one inventory. Lookups take constant
// time unless stated otherwise. It is safe for concurrent use. Callers must not modify
// the values it returns.
type Index struct {
	teamKeys      map[[sha256.Size]byte]teamKey
	services      map[fleet.ServiceID]Service
	weights       map[shareKey]float64
	nonIdempotent map[fleet.ServiceID][]NonIdempotentRule
	upstreamsOf   map[fleet.ServiceID][]Upstream
	upstreams     map[fleet.UpstreamID]Upstream
	routers       map[fleet.NodeID]Router
	vms           map[fleet.VMID]VM
	leaving       map[fleet.VMID]LeavingVM
}

// NewIndex builds the index of a valid inventory. It returns ErrInvalid for a malformed
// key hash.
func NewIndex(inv Inventory) (*Index, error) {
	x := &Index{
		teamKeys:      make(map[[sha256.Size]byte]teamKey, len(inv.Teams)),
		services:      make(map[fleet.ServiceID]Service, len(inv.Services)),
		weights:       make(map[shareKey]float64, len(inv.Rules.Shares)),
		nonIdempotent: make(map[fleet.ServiceID][]NonIdempotentRule),
		upstreamsOf:   make(map[fleet.ServiceID][]Upstream, len(inv.Services)),
		upstreams:     make(map[fleet.UpstreamID]Upstream, len(inv.Upstreams)),
		routers:       make(map[fleet.NodeID]Router, len(inv.Routers)),
		vms:           make(map[fleet.VMID]VM, len(inv.VMs)),
		leaving:       make(map[fleet.VMID]LeavingVM, len(inv.Rules.LeavingVMs)),
	}
	for _, team := range inv.Teams {
		if err := x.addTeam(team); err != nil {
			return nil, err
		}
	}
	x.addTopology(inv)
	x.addRules(inv.Rules)
	return x, nil
}

func (x *Index) addTeam(team Team) error {
	for _, keyHash := range team.KeyHashes {
		hash, err := hex.DecodeString(keyHash)
		if err != nil || len(hash) != sha256.Size {
			return eris.Wrapf(ErrInvalid, "team %s: key hash", team.ID)
		}
		key := teamKey{hash: [sha256.Size]byte(hash), team: team.ID}
		x.teamKeys[key.hash] = key
	}
	return nil
}

func (x *Index) addTopology(inv Inventory) {
	for _, vm := range inv.VMs {
		x.vms[vm.ID] = vm
	}
	for _, router := range inv.Routers {
		x.routers[router.ID] = router
	}
	for _, service := range inv.Services {
		x.services[service.ID] = service
	}
	for _, upstream := range inv.Upstreams {
		x.upstreams[upstream.ID] = upstream
		x.upstreamsOf[upstream.Service] = append(x.upstreamsOf[upstream.Service], upstream)
	}
}

func (x *Index) addRules(rules Rules) {
	for _, share := range rules.Shares {
		x.weights[shareKey{share.Service, share.Team}] = share.Weight
	}
	for _, rule := range rules.NonIdempotent {
		x.nonIdempotent[rule.Service] = append(x.nonIdempotent[rule.Service], rule)
	}
	for _, vm := range rules.LeavingVMs {
		x.leaving[vm.ID] = vm
	}
}

// TeamByKey returns the team that owns a bearer key.
func (x *Index) TeamByKey(bearer string) (fleet.TeamID, bool) {
	hash := sha256.Sum256([]byte(bearer))
	key, ok := x.teamKeys[hash]
	if !ok || subtle.ConstantTimeCompare(hash[:], key.hash[:]) != 1 {
		return "", false
	}
	return key.team, true
}

// Service returns the service with the given identifier.
func (x *Index) Service(id fleet.ServiceID) (Service, bool) {
	service, ok := x.services[id]
	return service, ok
}

// Weight returns the weight of a team at a service: that of its share for the service,
// or else of its share for all services, or else DefaultWeight.
func (x *Index) Weight(service fleet.ServiceID, team fleet.TeamID) float64 {
	if weight, ok := x.weights[shareKey{service, team}]; ok {
		return weight
	}
	if weight, ok := x.weights[shareKey{"", team}]; ok {
		return weight
	}
	return DefaultWeight
}

// NonIdempotent reports whether a request must not run twice. urlPath is the decoded
// path of the URL. It is cleaned first, so that an equivalent path does not bypass a
// rule. The time is linear in the number of rules of the service.
func (x *Index) NonIdempotent(service fleet.ServiceID, method, urlPath string) bool {
	rules := x.nonIdempotent[service]
	if len(rules) == 0 {
		return false
	}
	clean := path.Clean("/" + urlPath)
	for _, rule := range rules {
		if rule.matches(method, clean) {
			return true
		}
	}
	return false
}

func (r NonIdempotentRule) matches(method, clean string) bool {
	if !strings.HasPrefix(clean+"/", r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if strings.EqualFold(m, method) {
			return true
		}
	}
	return false
}

// UpstreamsOf returns the upstreams of a service in the order of the inventory, which is
// by identifier in an adopted configuration.
func (x *Index) UpstreamsOf(service fleet.ServiceID) []Upstream {
	return x.upstreamsOf[service]
}

// Upstream returns the upstream with the given identifier.
func (x *Index) Upstream(id fleet.UpstreamID) (Upstream, bool) {
	upstream, ok := x.upstreams[id]
	return upstream, ok
}

// Router returns the router with the given identifier.
func (x *Index) Router(id fleet.NodeID) (Router, bool) {
	router, ok := x.routers[id]
	return router, ok
}

// VM returns the VM with the given identifier.
func (x *Index) VM(id fleet.VMID) (VM, bool) {
	vm, ok := x.vms[id]
	return vm, ok
}

// Leaving returns the rule that takes a VM out of service, for use with fleet.Eligible.
// It returns nil if there is none.
func (x *Index) Leaving(id fleet.VMID) *fleet.LeavingRule {
	rule, ok := x.leaving[id]
	if !ok {
		return nil
	}
	return &fleet.LeavingRule{Incarnation: rule.Incarnation}
}
