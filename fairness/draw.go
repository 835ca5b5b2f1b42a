package fairness

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Lottery spreads the grants of sidecars that know the same, late accounts. If each
// granted to the least account, all would grant to one team until its new
// account had reached them. Instead a team is drawn with the odds of what the
// whole fleet owes it: need is the cost that the fleet grants while accounts are
// on their way, the level is where the least accounts end when they are filled
// up with it, and a team's odds are its weight times what it lacks to the level.
//
// The order is that of an exponential race, so that the least score of all is
// the draw, and the least of the rest is the next one.
type Lottery struct {
	self  string
	seq   uint64
	level float64
}

// Candidate is the account and the weight of a team that takes part in a draw.
type Candidate struct {
	Account float64
	Weight  float64
}

// NewLottery returns a draw for one sidecar. Sidecars draw differently.
func NewLottery(self fleet.NodeID) *Lottery {
	return &Lottery{self: string(self)}
}

// Prepare prepares the next draw among shares. Need is in cost units. The shares
// are reordered.
func (d *Lottery) Prepare(shares []Candidate, need float64) {
	d.seq++
	d.level = fillLevel(shares, need)
}

// fillLevel returns the level up to which need fills the least accounts.
func fillLevel(shares []Candidate, need float64) float64 {
	slices.SortFunc(shares, func(a, b Candidate) int { return cmp.Compare(a.Account, b.Account) })
	weight, filled := 0.0, 0.0
	for i, s := range shares {
		weight += s.Weight
		filled += s.Weight * s.Account
		level := (need + filled) / weight
		if i+1 == len(shares) || level <= shares[i+1].Account {
			return level
		}
	}
	return 0
}

// Score returns a team's place in the prepared draw: the least is granted
// first. Teams above the level come after all others, by their accounts.
func (d *Lottery) Score(team fleet.TeamID, account, weight float64) float64 {
	lacking := weight * (d.level - account)
	if lacking <= 0 {
		return account - d.level
	}
	return -lacking / d.exponential(team)
}

// exponential returns a pseudo-random variate of mean 1 that depends on the
// sidecar, the team and the draw only.
func (d *Lottery) exponential(team fleet.TeamID) float64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(d.self)
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(string(team))
	var seq [8]byte
	binary.LittleEndian.PutUint64(seq[:], d.seq)
	_, _ = h.Write(seq[:])
	const bits = 53
	uniform := (float64(h.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -math.Log(uniform)
}
