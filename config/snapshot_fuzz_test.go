package config_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
)

// FuzzSnapshot checks that an adopter takes a head and a shard of another process only if they
// are a valid configuration of a higher generation.
func FuzzSnapshot(f *testing.F) {
	RegisterTestingT(f)
	current := encode(sampleInventory(), 1)
	next := encode(withTeams(sampleInventory(), 3), 2)
	for _, e := range []config.Encoded{current, next} {
		for _, shard := range e.Shards {
			f.Add(e.Head, shard.Data)
		}
	}
	f.Add([]byte(`{"generation":18446744073709551615,"shards":["x","x"]}`), []byte("{}"))
	f.Add([]byte(`{"generation":3,"shards":["`+string(config.HashOf([]byte("{}")))+`"]}`), []byte("{}"))
	f.Fuzz(func(t *testing.T, head, shard []byte) {
		adopter := config.NewAdopter(config.AdopterOptions{})
		now := time.Unix(1000, 0)
		adopter.Step(now, config.HeadReceived{Head: current.Head, Shards: current.Shards, From: "a"})
		shards := []config.Shard{{Hash: config.HashOf(shard), Data: shard}, {Hash: "other", Data: shard}}
		for _, action := range adopter.Step(now, config.HeadReceived{Head: head, Shards: append(shards, next.Shards...), From: "b"}) {
			switch a := action.(type) {
			case config.Reject:
				if !errors.Is(a.Err, config.ErrCorrupt) && !errors.Is(a.Err, config.ErrInvalid) {
					t.Fatalf("untyped error: %v", a.Err)
				}
			case config.Adopt:
				if a.Snapshot.Generation <= 1 || a.Snapshot.Index == nil {
					t.Fatalf("adopted generation %d", a.Snapshot.Generation)
				}
			}
		}
		if adopter.Generation() < 1 {
			t.Fatal("the generation decreased")
		}
	})
}

// FuzzShard checks that the contents of a shard are either refused or an inventory that is
// encoded again.
func FuzzShard(f *testing.F) {
	RegisterTestingT(f)
	for _, shard := range encode(sampleInventory(), 1).Shards {
		f.Add(shard.Data)
	}
	f.Add([]byte("null"))
	f.Add([]byte(`{"teams":[{"id":"long","key_hashes":["` + strings.Repeat("0", 66) + `"]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		head := config.Head{Generation: 1, Shards: []config.Hash{config.HashOf(data)}}
		inventory, err := config.Join(head, map[config.Hash][]byte{config.HashOf(data): data})
		if err != nil {
			if !errors.Is(err, config.ErrCorrupt) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		if _, err := config.NewIndex(inventory); err != nil {
			if !errors.Is(err, config.ErrInvalid) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		if _, _, err := config.Split(inventory); err != nil {
			t.Fatal(err)
		}
	})
}
