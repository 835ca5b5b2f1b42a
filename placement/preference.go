package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// RendezvousScore returns the score of a candidate for a key in rendezvous hashing.
func RendezvousScore(key uint64, candidate string) uint64 {
	return chainHash(key, xxhash.Sum64String(candidate))
}

// PreferredEngines returns the engines in order of preference for a key. The order is
// that of rendezvous hashing: all routers compute the same one, and adding or removing
// an engine reassigns only the keys of that engine.
func PreferredEngines(key uint64, engines []fleet.UpstreamID) []fleet.UpstreamID {
	type scored struct {
		id    fleet.UpstreamID
		score uint64
	}
	scores := make([]scored, len(engines))
	for i, id := range engines {
		scores[i] = scored{id: id, score: RendezvousScore(key, string(id))}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]fleet.UpstreamID, len(scores))
	for i, s := range scores {
		out[i] = s.id
	}
	return out
}

// WeightedPreferredEngines returns the engines in order of preference for a key. The share of
// the keys that prefer an engine is in proportion to its weight, which is positive; weights
// has the weight of each engine. The order is that of weighted rendezvous hashing: changing
// the weight of an engine moves only keys to or from that engine. With equal weights it is
// that of PreferredEngines.
func WeightedPreferredEngines(key uint64, engines []fleet.UpstreamID, weights []float64) []fleet.UpstreamID {
	type scored struct {
		index int
		// hash breaks ties of distance.
		hash uint64
		// distance is distributed exponentially with the weight as its rate. The least
		// of several falls to an engine in proportion to its weight.
		distance float64
	}
	scores := make([]scored, len(engines))
	for i, id := range engines {
		hash := chainHash(key, xxhash.Sum64String(string(id)))
		scores[i] = scored{index: i, hash: hash, distance: -math.Log(unitInterval(hash)) / weights[i]}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.distance == b.distance {
			return cmp.Compare(b.hash, a.hash)
		}
		return cmp.Compare(a.distance, b.distance)
	})
	out := make([]fleet.UpstreamID, len(scores))
	for i, s := range scores {
		out[i] = engines[s.index]
	}
	return out
}

// unitInterval maps a hash to a number above zero and below one, in the order of the hashes.
func unitInterval(hash uint64) float64 {
	const bits = 52 // One less than the bits of a float64's fraction, for the added half.
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}

// PreferredEngineCount returns the number of engines that prompts with the same shared
// parts may be sent to. If the shared parts are no longer than the prompt's own part,
// reusing them saves little and the prompt may be sent to any engine.
func PreferredEngineCount(p Prompt, replicas, engines int) int {
	shared := p.SharedTokens()
	own := p.Tokens() - shared
	if shared <= own {
		return engines
	}
	return min(replicas, engines)
}
