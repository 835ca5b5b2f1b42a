package config

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// recordKnown records when a newer generation first became known. If there are too many, it
// merges the newest, which can only make the process report Behind earlier. claimedBy is the peer
// that named it, or empty if its head was received.
func (a *Adopter) recordKnown(now time.Time, generation uint64, claimedBy fleet.NodeID) {
	if generation <= a.snapshot.Generation {
		return
	}
	last := len(a.knownGenerations) - 1
	if last >= 0 && generation <= a.knownGenerations[last].generation {
		return
	}
	if len(a.knownGenerations) >= maxKnownGenerations {
		a.knownGenerations[last].generation = generation
		if a.knownGenerations[last].claimedBy != claimedBy {
			a.knownGenerations[last].claimedBy = ""
		}
		return
	}
	a.knownGenerations = append(a.knownGenerations, knownGeneration{generation: generation, since: now, claimedBy: claimedBy})
}

// setHeld records the generation of the head that a peer sent. Newer generations that only this
// peer has named are no longer known: it does not hold them. Otherwise a generation that a
// corrupted process names would keep this process behind for good.
func (a *Adopter) setHeld(now time.Time, peer fleet.NodeID, generation uint64) {
	a.peers[peer] = generation
	holder, named := peer, generation
	for other, held := range a.peers {
		if held > named || held == named && other < holder {
			holder, named = other, held
		}
	}
	a.knownGenerations = slices.DeleteFunc(a.knownGenerations, func(known knownGeneration) bool {
		return known.claimedBy == peer && known.generation > named
	})
	a.recordKnown(now, named, holder)
	a.highestRequested = min(a.highestRequested, a.highestKnown())
}

// pruneKnown removes the generations up to that of the snapshot.
func (a *Adopter) pruneKnown() {
	a.knownGenerations = slices.DeleteFunc(a.knownGenerations, func(known knownGeneration) bool {
		return known.generation <= a.snapshot.Generation
	})
}

// updateBehind returns a Behind or CaughtUp action if the process has fallen behind or
// caught up.
func (a *Adopter) updateBehind(now time.Time) []Action {
	behind := false
	if len(a.knownGenerations) > 0 {
		behind = now.Sub(a.knownGenerations[0].since) >= a.options.BehindTimeout
	}
	if behind == a.behind {
		return nil
	}
	a.behind = behind
	if !behind {
		return []Action{CaughtUp{}}
	}
	return []Action{Behind{Held: a.snapshot.Generation, Known: a.highestKnown()}}
}

// highestKnown returns the highest generation known, which may be that of the snapshot.
func (a *Adopter) highestKnown() uint64 {
	if len(a.knownGenerations) == 0 {
		return a.snapshot.Generation
	}
	return a.knownGenerations[len(a.knownGenerations)-1].generation
}

// requestMissing requests missing data: immediately when a higher generation becomes known,
// then once per RetryInterval, from each peer with a newer generation in turn. Shards are
// fetched from the platform only if their head was read from it too.
func (a *Adopter) requestMissing(now time.Time) []Action {
	if !a.newerKnown() {
		return nil
	}
	known := a.highestKnown()
	if known <= a.highestRequested && now.Before(a.retryAt) {
		return nil
	}
	a.highestRequested = known
	a.retryAt = now.Add(a.options.RetryInterval)
	var actions []Action
	if hashes := a.missingFromPlatform(); len(hashes) > 0 {
		actions = append(actions, FetchShards{Hashes: hashes})
	}
	if peer, ok := a.choosePeer(); ok {
		actions = append(actions, RequestFromPeer{Peer: peer, Have: a.heldHashes()})
	}
	return actions
}

// missingFromPlatform returns the missing shards of the highest candidate whose head was
// read from the platform.
func (a *Adopter) missingFromPlatform() []Hash {
	if !a.options.HasPlatform {
		return nil
	}
	for i := len(a.candidates) - 1; i >= 0; i-- {
		if a.candidates[i].fromPlatform {
			return a.candidates[i].missing()
		}
	}
	return nil
}

// choosePeer selects the next peer that has a newer generation than this process.
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
	a.peerCursor++
	return ahead[a.peerCursor%len(ahead)], true
}

// heldHashes returns the sorted hashes of the shards held.
func (a *Adopter) heldHashes() []Hash {
	held := a.heldShards()
	out := make([]Hash, 0, len(held))
	for hash := range held {
		out = append(out, hash)
	}
	slices.Sort(out)
	return out
}
