package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// maxShardBytes limits the size of shards with more than one item. Smaller shards lower
// the cost of a single change in each process, but make the head larger.
const maxShardBytes = 32 << 10

// maxBuckets limits the number of shards per section.
const maxBuckets = 4096

// shardContent is the decoded content of a shard. Split writes to each shard some items
// of one section, or the rules. Unknown fields are rejected, because a process would
// otherwise silently ignore a rule of a newer release.
type shardContent struct {
	Regions   []Region   `json:"regions,omitempty"`
	VMs       []VM       `json:"vms,omitempty"`
	Routers   []Router   `json:"routers,omitempty"`
	Services  []Service  `json:"services,omitempty"`
	Upstreams []Upstream `json:"upstreams,omitempty"`
	Teams     []Team     `json:"teams,omitempty"`
	Shares    []Share    `json:"shares,omitempty"`
	Rules     *Rules     `json:"rules,omitempty"`
}

// Split encodes an inventory into shards and returns them with a head that lists their
// hashes; the caller sets the other fields of the head. Items are assigned to shards by
// the hash of their identifier, so that changing one item changes one shard.
func Split(inv Inventory) (Head, []Shard, error) {
	s := &shardEncoder{}
	inv.Rules.Shares = slices.Clone(inv.Rules.Shares)
	sortShares(inv.Rules.Shares)
	splitSection(s, inv.Regions, regionID, func(c *shardContent, items []Region) { c.Regions = items })
	splitSection(s, inv.VMs, vmID, func(c *shardContent, items []VM) { c.VMs = items })
	splitSection(s, inv.Routers, routerID, func(c *shardContent, items []Router) { c.Routers = items })
	splitSection(s, inv.Services, serviceID, func(c *shardContent, items []Service) { c.Services = items })
	splitSection(s, inv.Upstreams, upstreamID, func(c *shardContent, items []Upstream) { c.Upstreams = items })
	splitSection(s, inv.Teams, teamID, func(c *shardContent, items []Team) { c.Teams = items })
	splitSection(s, inv.Rules.Shares, shareTeam, func(c *shardContent, items []Share) { c.Shares = items })
	rules := inv.Rules
	rules.Shares = nil
	s.add(shardContent{Rules: &rules})
	if s.err != nil {
		return Head{}, nil, eris.Wrapf(ErrInvalid, "cannot encode: %v", s.err)
	}
	head := Head{Shards: make([]Hash, len(s.shards))}
	for i, shard := range s.shards {
		head.Shards[i] = shard.Hash
	}
	return head, s.shards, nil
}

type shardEncoder struct {
	shards []Shard
	err    error
}

func (s *shardEncoder) encode(content shardContent) []byte {
	data, err := json.Marshal(content)
	if err != nil && s.err == nil {
		s.err = err
	}
	return data
}

func (s *shardEncoder) add(content shardContent) {
	data := s.encode(content)
	s.shards = append(s.shards, Shard{Hash: HashOf(data), Data: data})
}

// splitSection encodes the items of a section. It doubles the number of buckets until
// each fits in a shard, up to maxBuckets.
func splitSection[T any](s *shardEncoder, items []T, id func(T) string, setItems func(*shardContent, []T)) {
	for buckets := 1; ; buckets *= 2 {
		encoded, fits := encodeBuckets(s, partition(items, id, buckets), setItems)
		if !fits && buckets < maxBuckets {
			continue
		}
		for _, data := range encoded {
			s.shards = append(s.shards, Shard{Hash: HashOf(data), Data: data})
		}
		return
	}
}

// partition assigns items to buckets by the hash of their identifier.
func partition[T any](items []T, id func(T) string, buckets int) [][]T {
	out := make([][]T, buckets)
	for _, item := range items {
		sum := sha256.Sum256([]byte(id(item)))
		bucket := binary.BigEndian.Uint64(sum[:]) % uint64(buckets)
		out[bucket] = append(out[bucket], item)
	}
	for _, bucket := range out {
		sortByID(bucket, id)
	}
	return out
}

// encodeBuckets encodes each bucket that is not empty. fits reports whether each bucket
// with more than one item is within maxShardBytes; if not, encoding stops unless the
// number of buckets is at its maximum.
func encodeBuckets[T any](s *shardEncoder, buckets [][]T, setItems func(*shardContent, []T)) (encoded [][]byte, fits bool) {
	fits = true
	for _, bucket := range buckets {
		if len(bucket) == 0 {
			continue
		}
		var content shardContent
		setItems(&content, bucket)
		data := s.encode(content)
		if len(data) > maxShardBytes && len(bucket) > 1 {
			fits = false
			if len(buckets) < maxBuckets {
				return nil, false
			}
		}
		encoded = append(encoded, data)
	}
	return encoded, fits
}

// Join decodes the inventory of a head from its shards. It returns ErrCorrupt if a shard
// is missing, does not match its hash or cannot be decoded. The lists of the inventory
// are sorted by identifier.
func Join(head Head, shards map[Hash][]byte) (Inventory, error) {
	inv, _, err := joinCached(head, shards, nil)
	return inv, err
}

// joinCached is like Join, but takes shards that were decoded before from a cache. It
// also returns the decoded shards of this head, to be used as the next cache.
func joinCached(head Head, shards map[Hash][]byte, cache map[Hash]shardContent) (Inventory, map[Hash]shardContent, error) {
	var inv Inventory
	contents := make(map[Hash]shardContent, len(head.Shards))
	for _, hash := range head.Shards {
		content, ok := cache[hash]
		if !ok {
			decoded, err := decodeShard(hash, shards)
			if err != nil {
				return Inventory{}, nil, err
			}
			content = decoded
		}
		contents[hash] = content
		content.appendTo(&inv)
	}
	sortInventory(&inv)
	return inv, contents, nil
}

func decodeShard(hash Hash, shards map[Hash][]byte) (shardContent, error) {
	var content shardContent
	data, ok := shards[hash]
	if !ok {
		return content, eris.Wrapf(ErrCorrupt, "shard %s is missing", hash)
	}
	if HashOf(data) != hash {
		return content, eris.Wrapf(ErrCorrupt, "shard %s has other content", hash)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&content); err != nil {
		return content, eris.Wrapf(ErrCorrupt, "shard %s: %v", hash, err)
	}
	return content, nil
}

func (c shardContent) appendTo(inv *Inventory) {
	inv.Regions = append(inv.Regions, c.Regions...)
	inv.VMs = append(inv.VMs, c.VMs...)
	inv.Routers = append(inv.Routers, c.Routers...)
	inv.Services = append(inv.Services, c.Services...)
	inv.Upstreams = append(inv.Upstreams, c.Upstreams...)
	inv.Teams = append(inv.Teams, c.Teams...)
	if c.Rules != nil {
		shares := inv.Rules.Shares
		inv.Rules = *c.Rules
		inv.Rules.Shares = shares
	}
	inv.Rules.Shares = append(inv.Rules.Shares, c.Shares...)
}

func sortInventory(inv *Inventory) {
	sortByID(inv.Regions, regionID)
	sortByID(inv.VMs, vmID)
	sortByID(inv.Routers, routerID)
	sortByID(inv.Services, serviceID)
	sortByID(inv.Upstreams, upstreamID)
	sortByID(inv.Teams, teamID)
	sortShares(inv.Rules.Shares)
}

func sortByID[T any](items []T, id func(T) string) {
	slices.SortStableFunc(items, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
}

func sortShares(shares []Share) {
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Service, b.Service))
	})
}

// HashOf returns the hash of the data of a shard.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

func regionID(r Region) string     { return string(r.ID) }
func vmID(v VM) string             { return string(v.ID) }
func routerID(r Router) string     { return string(r.ID) }
func serviceID(s Service) string   { return string(s.ID) }
func upstreamID(u Upstream) string { return string(u.ID) }
func teamID(t Team) string         { return string(t.ID) }
func shareTeam(s Share) string     { return string(s.Team) }
func shareID(s Share) string       { return string(s.Team) + "/" + string(s.Service) }
