package config

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// sight remembers when a generation was first heard of. Sightings ascend in
// generation and time; when there are many the newest are merged, which only
// makes Behind earlier.
func (a *Adopter) sight(now time.Time, generation uint64) {
	if generation <= a.snapshot.Generation {
		return
	}
	last := len(a.sightings) - 1
	if last >= 0 && generation <= a.sightings[last].generation {
		return
	}
	if len(a.sightings) >= maxSightings {
		a.sightings[last].generation = generation
		return
	}
	a.sightings = append(a.sightings, sighting{generation: generation, at: now})
}

func (a *Adopter) forgetSightings() {
	a.sightings = slices.DeleteFunc(a.sightings, func(s sighting) bool {
		return s.generation <= a.snapshot.Generation
	})
}

// judge reports when the process falls behind and when it has caught up.
func (a *Adopter) judge(now time.Time) []Action {
	behind := false
	if len(a.sightings) > 0 {
		behind = now.Sub(a.sightings[0].at) >= a.options.BehindBound
	}
	if behind == a.behind {
		return nil
	}
	a.behind = behind
	if !behind {
		return []Action{CaughtUp{}}
	}
	return []Action{Behind{Held: a.snapshot.Generation, Known: a.known()}}
}

// known returns the highest generation heard of.
func (a *Adopter) known() uint64 {
	if len(a.sightings) == 0 {
		return a.snapshot.Generation
	}
	return a.sightings[len(a.sightings)-1].generation
}

// request asks for what is missing: at once when a higher generation is first
// heard of, then once in each retry interval, in turn from each peer that
// should have it. The platform is asked only for the shards of heads that it
// showed itself.
func (a *Adopter) request(now time.Time) []Action {
	if !a.wantsMore() {
		return nil
	}
	known := a.known()
	if known <= a.requested && now.Before(a.retryAt) {
		return nil
	}
	a.requested = known
	a.retryAt = now.Add(a.options.RetryInterval)
	var actions []Action
	if hashes := a.platformMissing(); len(hashes) > 0 {
		actions = append(actions, FetchShards{Hashes: hashes})
	}
	if peer, ok := a.choosePeer(); ok {
		actions = append(actions, RequestFrom{Peer: peer, Have: a.have()})
	}
	return actions
}

// platformMissing returns the missing shards of the highest candidate that the
// platform showed.
func (a *Adopter) platformMissing() []Hash {
	if !a.options.Platform {
		return nil
	}
	for i := len(a.candidates) - 1; i >= 0; i-- {
		if a.candidates[i].fromPlatform {
			return a.candidates[i].missing()
		}
	}
	return nil
}

// choosePeer takes the next peer that holds more than this process.
func (a *Adopter) choosePeer() (fleet.NodeID, bool) {
	var ahead []fleet.NodeID
	for peer, generation := range a.peers {
		if generation > a.snapshot.Generation {
			ahead = append(ahead, peer)
		}
	}
	if len(ahead) == 0 {
		return "", false
	}
	slices.Sort(ahead)
	a.nextPeer++
	return ahead[a.nextPeer%len(ahead)], true
}

// have lists the shards that are held, in a fixed order.
func (a *Adopter) have() []Hash {
	held := a.heldShards()
	out := make([]Hash, 0, len(held))
	for hash := range held {
		out = append(out, hash)
	}
	slices.Sort(out)
	return out
}
