package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// PreferredEngines returns the engines in the order in which they are preferred for a key:
// by rendezvous hashing, so that an engine that comes or goes moves only the
// keys that it has or gets, and every router has the same order.
func PreferredEngines(key uint64, engines []fleet.UpstreamID) []fleet.UpstreamID {
	type scored struct {
		id    fleet.UpstreamID
		score uint64
	}
	scores := make([]scored, len(engines))
	for i, id := range engines {
		scores[i] = scored{id: id, score: chain(key, xxhash.Sum64String(string(id)))}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]fleet.UpstreamID, len(scores))
	for i, s := range scores {
		out[i] = s.id
	}
	return out
}

// PreferredEngineCount returns how many engines may get prompts with the same shared
// parts. Sharing is worth little where the shared parts are short against the
// prompt's own part: such prompts may go to any engine.
func PreferredEngineCount(p Prompt, replicas, engines int) int {
	shared := p.SharedTokens()
	own := p.Tokens() - shared
	if shared <= own {
		return engines
	}
	return min(replicas, engines)
}
