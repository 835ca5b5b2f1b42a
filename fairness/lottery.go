package fairness

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Lottery randomizes which team a sidecar grants to, so that sidecars that hold
// the same outdated accounts don't all grant to the team with the least account
// until its new charges have reached them. A team's probability is proportional
// to what the whole fleet owes it: the pending cost (what the fleet grants while
// charges are propagated) is distributed over the least accounts by water
// filling, and a team's deficit is its weight times the distance of its account
// to the resulting level.
//
// Scores are those of an exponential race: the team with the least score wins,
// and the least score of the remaining teams decides the next grant.
type Lottery struct {
	self  string
	seq   uint64
	level float64
}

// Candidate is the account and the weight of a team that takes part in a
// lottery.
type Candidate struct {
	Account float64
	Weight  float64
}

// NewLottery returns the lottery of one sidecar. The sidecar's identifier seeds
// its random sequence, so that sidecars draw independently.
func NewLottery(self fleet.NodeID) *Lottery {
	return &Lottery{self: string(self)}
}

// Prepare starts the next drawing among the candidates. The pending cost is in
// cost units. It reorders the candidates.
func (l *Lottery) Prepare(candidates []Candidate, pendingCost float64) {
	l.seq++
	l.level = waterLevel(candidates, pendingCost)
}

// waterLevel returns the level that the least accounts reach when the pending
// cost is distributed over them by weight.
func waterLevel(candidates []Candidate, pendingCost float64) float64 {
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Account, b.Account) })
	weight, filled := 0.0, 0.0
	for i, c := range candidates {
		weight += c.Weight
		filled += c.Weight * c.Account
		level := (pendingCost + filled) / weight
		if i+1 == len(candidates) || level <= candidates[i+1].Account {
			return level
		}
	}
	return 0
}

// Score returns a team's score in the prepared drawing; the least score is
// granted first. Teams above the level rank behind all others, ordered by their
// accounts.
func (l *Lottery) Score(team fleet.TeamID, account, weight float64) float64 {
	deficit := weight * (l.level - account)
	if deficit <= 0 {
		return account - l.level
	}
	return -deficit / l.exponential(team)
}

// exponential returns a pseudo-random, exponentially distributed variate of mean
// 1. It depends only on the sidecar, the team and the drawing's number.
func (l *Lottery) exponential(team fleet.TeamID) float64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(l.self)
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(string(team))
	var seq [8]byte
	binary.LittleEndian.PutUint64(seq[:], l.seq)
	_, _ = h.Write(seq[:])
	const bits = 53
	uniform := (float64(h.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -math.Log(uniform)
}
