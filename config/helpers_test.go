package config_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/platform"
)

const sample = `regions:
  - id: noord
    failure_domains: [n1]
vms:
  - {id: vm-1, region: noord, failure_domain: n1, address: 127.0.0.2}
  - {id: vm-2, region: noord, failure_domain: n1, address: 127.0.0.3}
routers:
  - {id: router-1, vm: vm-1, peer_address: "127.0.0.2:7000"}
services:
  - id: chat
    kind: model
    idle_timeout: 250ms
  - id: bookings
    kind: plain
upstreams:
  - {id: up-1, vm: vm-2, service: chat, sidecar_address: "127.0.0.3:7001", slots: 4}
  - {id: up-2, vm: vm-2, service: chat, sidecar_address: "127.0.0.3:7002", slots: 2, checks_fencing: true}
teams:
  - id: westland
    key_hashes: [KEYHASH]
  - id: depot
    key_hashes: []
rules:
  shares:
    - {team: westland, weight: 2}
    - {team: westland, service: chat, weight: 3}
  non_idempotent:
    - {service: bookings, methods: [POST], path_prefix: /orders}
  leaving_vms:
    - {id: vm-2, incarnation: 7}
`

func sampleText() string {
	sum := sha256.Sum256([]byte("key-1"))
	return strings.Replace(sample, "KEYHASH", hex.EncodeToString(sum[:]), 1)
}

func sampleInventory() config.Inventory {
	inv, err := config.ParseInventory([]byte(sampleText()))
	Expect(err).NotTo(HaveOccurred())
	return inv
}

// withTeams adds n teams to an inventory, each with a key and a share.
func withTeams(inv config.Inventory, n int) config.Inventory {
	for i := range n {
		sum := sha256.Sum256(fmt.Appendf(nil, "key of team %d", i))
		id := fleet.TeamID(fmt.Sprintf("team-%05d", i))
		inv.Teams = append(inv.Teams, config.Team{ID: id, KeyHashes: []string{hex.EncodeToString(sum[:])}})
		inv.Rules.Shares = append(inv.Rules.Shares, config.Share{Team: id, Weight: 1.5})
	}
	return inv
}

// memoryStore is an in-memory Store. beforePut can make a write fail before it is
// applied, and afterPut after it was applied.
type memoryStore struct {
	platform.Store // Watch and VMs are not implemented.

	mu        sync.Mutex
	version   platform.Version
	now       time.Time
	objects   map[string]platform.Object
	beforePut func(key string) error
	afterPut  func(key string) error
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]platform.Object), now: time.Unix(1000, 0)}
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

// satisfies reports whether the object at key satisfies a condition.
func (s *memoryStore) satisfies(key string, cond platform.Condition) bool {
	version := s.objects[key].Version
	return cond == platform.Condition{} || cond == platform.IfVersion(version)
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, cond platform.Condition) (platform.Version, error) {
	if s.beforePut != nil {
		if err := s.beforePut(key); err != nil {
			return 0, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.satisfies(key, cond) {
		return 0, platform.ErrConflict
	}
	s.version++
	s.objects[key] = platform.Object{Key: key, Value: value, Version: s.version, Modified: s.now}
	if s.afterPut != nil {
		return s.version, s.afterPut(key)
	}
	return s.version, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, cond platform.Condition) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.satisfies(key, cond) {
		return platform.ErrConflict
	}
	delete(s.objects, key)
	return nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]platform.Entry, platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []platform.Entry
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, platform.Entry{Key: key, Version: object.Version, Modified: object.Modified})
		}
	}
	return entries, s.version, nil
}

// encode encodes an inventory as a head of the given generation and its shards.
func encode(inv config.Inventory, generation uint64) config.Encoded {
	head, shards, err := config.Split(inv)
	Expect(err).NotTo(HaveOccurred())
	head.Generation = generation
	head.ChangeID = fmt.Sprintf("change-%d", generation)
	data, err := json.Marshal(head)
	Expect(err).NotTo(HaveOccurred())
	return config.Encoded{Head: data, Shards: shards}
}
