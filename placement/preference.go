package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

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
		scores[i] = scored{id: id, score: chainHash(key, xxhash.Sum64String(string(id)))}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]fleet.UpstreamID, len(scores))
	for i, s := range scores {
		out[i] = s.id
	}
	return out
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
