package registry_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
)

// usableUpstream returns an upstream that requests can be sent to.
func usableUpstream() registry.Upstream {
	return registry.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.9:8080", Domain: "z", Slots: 1}
}

// Guards against registrations that are refused although requests can be sent to the upstream.
func TestUsableRegistrationsAreValid(t *testing.T) {
	for name, change := range map[string]func(*registry.Upstream){
		"plain":         func(*registry.Upstream) {},
		"IPv6":          func(u *registry.Upstream) { u.Address = "[fd00::1]:1" },
		"highest port":  func(u *registry.Upstream) { u.Address = "127.0.0.1:65535" },
		"most slots":    func(u *registry.Upstream) { u.Slots = registry.MaxSlots },
		"longest names": func(u *registry.Upstream) { u.Version = strings.Repeat("v", registry.MaxNameBytes) },
		"not ASCII":     func(u *registry.Upstream) { u.Domain = "zürich" },
		"coldest":       func(u *registry.Upstream) { u.ColdRemaining = registry.MaxColdRemaining },
	} {
		u := usableUpstream()
		change(&u)
		NewWithT(t).Expect(u.Validate()).To(Succeed(), name)
	}
}

// Guards against registrations that are used although no request can be sent to the upstream,
// or that can't be passed on to other routers.
func TestUnusableRegistrationsAreInvalid(t *testing.T) {
	for name, change := range map[string]func(*registry.Upstream){
		"no identifier":             func(u *registry.Upstream) { u.ID = "" },
		"identifier with a break":   func(u *registry.Upstream) { u.ID = "i-1\r\nA: b" },
		"identifier with spaces":    func(u *registry.Upstream) { u.ID = " i-1" },
		"identifier not UTF-8":      func(u *registry.Upstream) { u.ID = "i-\xff" },
		"identifier too long":       func(u *registry.Upstream) { u.ID = fleet.UpstreamID(strings.Repeat("i", registry.MaxNameBytes+1)) },
		"no service":                func(u *registry.Upstream) { u.Service = "" },
		"service not UTF-8":         func(u *registry.Upstream) { u.Service = "s\xff" },
		"no failure domain":         func(u *registry.Upstream) { u.Domain = "" },
		"replaced bytes":            func(u *registry.Upstream) { u.Domain = "z\ufffd" },
		"version too long":          func(u *registry.Upstream) { u.Version = strings.Repeat("v", registry.MaxNameBytes+1) },
		"no slots":                  func(u *registry.Upstream) { u.Slots = 0 },
		"too many slots":            func(u *registry.Upstream) { u.Slots = registry.MaxSlots + 1 },
		"started before 1970":       func(u *registry.Upstream) { u.StartedUnixMs = -1 },
		"started too late":          func(u *registry.Upstream) { u.StartedUnixMs = registry.MaxStartedUnixMs + 1 },
		"negative cold time":        func(u *registry.Upstream) { u.ColdRemaining = -1 },
		"cold for too long":         func(u *registry.Upstream) { u.ColdRemaining = registry.MaxColdRemaining + 1 },
		"no address":                func(u *registry.Upstream) { u.Address = "" },
		"port 0":                    func(u *registry.Upstream) { u.Address = "10.0.0.9:0" },
		"port out of range":         func(u *registry.Upstream) { u.Address = "10.0.0.9:65536" },
		"named port":                func(u *registry.Upstream) { u.Address = "10.0.0.9:http" },
		"host name":                 func(u *registry.Upstream) { u.Address = "localhost:80" },
		"unspecified address":       func(u *registry.Upstream) { u.Address = "[::]:80" },
		"mapped unspecified":        func(u *registry.Upstream) { u.Address = "[::ffff:0.0.0.0]:80" },
		"address with a zone":       func(u *registry.Upstream) { u.Address = "[fe80::1%lo]:80" },
		"multicast address":         func(u *registry.Upstream) { u.Address = "224.0.0.1:80" },
		"address of several hosts ": func(u *registry.Upstream) { u.Address = "10.0.0.9,10.0.0.8:80" },
	} {
		u := usableUpstream()
		change(&u)
		NewWithT(t).Expect(u.Validate()).To(MatchError(registry.ErrInvalid), name)
	}
}
