package claim

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/platform"
)

// call is a store call of a simulated owner. Its answer is computed at one
// step and delivered at another, so that an owner can pause between them.
type call struct {
	action Action
	answer Event
}

// lateWrite is a write whose answer was lost before it was applied.
type lateWrite struct {
	owner int
	write WriteHead
}

// claimModel drives several owners of one partition against one store.
type claimModel struct {
	t      *rapid.T
	now    time.Time
	store  *fakeStore
	owners []*Partition
	calls  [][]call
	late   []lateWrite

	lastID int
	ops    map[WaiterID]*modelOp
	// holder is the attempt that may run, by key.
	holder map[ScopeKey]AttemptID
	// ended holds the operations that must leave their attempt unclaimed:
	// claims that were not granted, and releases.
	ended map[AttemptID]*modelOp
	// deletes lists the segments to delete, in any order.
	deletes []string
}

// modelOp is an operation of an owner that has not restarted since.
type modelOp struct {
	op     Op
	owner  int
	record Record
	// holders lists the attempts that held the claim since the submit.
	holders map[AttemptID]bool
}

var modelConfig = Config{SegmentBytes: 700, MaxBatch: 4, MaxPending: 3, MaxOrphans: 1000}

func newClaimModel(t *rapid.T, owners int) *claimModel {
	m := &claimModel{
		t: t, now: time.Unix(0, 0), store: newFakeStore(), calls: make([][]call, owners),
		ops:    map[WaiterID]*modelOp{},
		holder: map[ScopeKey]AttemptID{}, ended: map[AttemptID]*modelOp{},
	}
	for range owners {
		m.owners = append(m.owners, NewPartition(modelConfig))
	}
	return m
}

func (m *claimModel) step(owner int, ev Event) {
	m.observe()
	for _, a := range m.owners[owner].Step(m.now, ev) {
		switch a := a.(type) {
		case Reply:
			m.reply(owner, a)
		case DeleteSegment:
			m.deletes = append(m.deletes, a.Key)
		default:
			m.calls[owner] = append(m.calls[owner], call{action: a})
		}
	}
}

// observe notes who holds the keys of the operations in progress.
func (m *claimModel) observe() {
	for _, o := range m.ops {
		if r, found, _ := m.store.truth(o.record.Scope); found && r.State == StateClaimed {
			o.holders[r.Attempt] = true
		}
	}
}

func (m *claimModel) reply(owner int, r Reply) {
	o, ok := m.ops[r.Waiter]
	if !ok || o.owner != owner {
		m.t.Fatalf("reply %+v to waiter %d, which does not wait at owner %d", r.Result, r.Waiter, owner)
	}
	delete(m.ops, r.Waiter)
	if o.op == OpClaim {
		m.claimReplied(o, r.Result)
	}
}

func (m *claimModel) claimReplied(o *modelOp, r Result) {
	rec := o.record
	if r.Status != StatusClaimed {
		m.ended[rec.Attempt] = o
		if r.Status == StatusAlreadyClaimed && !o.holders[r.Record.Attempt] {
			m.t.Fatalf("%s was refused for %s, which held no claim meanwhile", rec.Attempt, r.Record.Attempt)
		}
		return
	}
	if old, held := m.holder[rec.Scope]; held {
		m.t.Fatalf("key %v is held by %s and %s", rec.Scope, old, rec.Attempt)
	}
	if got, _, _ := m.store.truth(rec.Scope); got.Attempt != rec.Attempt || got.State != StateClaimed {
		m.t.Fatalf("claim of %s was granted but the store has %+v", rec.Attempt, got)
	}
	m.holder[rec.Scope] = rec.Attempt
}

func (m *claimModel) submit(owner int, op Op, r Record) {
	m.lastID++
	id := WaiterID(m.lastID)
	o := &modelOp{op: op, owner: owner, record: r, holders: map[AttemptID]bool{}}
	m.ops[id] = o
	if op == OpRelease {
		m.ended[r.Attempt] = o
	}
	m.step(owner, Submit{Op: op, Record: r, Waiter: id})
}

func (m *claimModel) claim(owner int, key string) {
	r := Record{
		Scope:   ScopeKey{Team: "team", Service: "booking", Key: key},
		Attempt: AttemptID(fmt.Sprintf("a%d", m.lastID+1)),
		Router:  fleet.NodeID(fmt.Sprintf("r%d", owner)), Digest: "d",
	}
	m.submit(owner, OpClaim, r)
}

// fault is what happens to a store call.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultAnswerLost
	faultLate
)

// serve computes the answer of a call.
func (m *claimModel) serve(owner int, c *call, f fault) {
	d := &driver{committer: &Committer{store: m.store, ctx: m.t.Context(), cfg: CommitterConfig{Log: zap.NewNop()}}}
	m.store.down = f == faultUnavailable
	defer func() { m.store.down = false }()
	ctx := context.Background()
	switch a := c.action.(type) {
	case ReadHead:
		c.answer = d.readHead(ctx)
	case ReadSegment:
		c.answer = d.readSegment(ctx, a)
	case WriteSegment:
		c.answer = d.writeSegment(ctx, a)
	case WriteHead:
		m.serveWrite(owner, d, c, a, f)
	}
}

func (m *claimModel) serveWrite(owner int, d *driver, c *call, a WriteHead, f fault) {
	if f == faultLate {
		m.late = append(m.late, lateWrite{owner, a})
		c.answer = WriteUnknown{}
		return
	}
	c.answer = d.writeHead(context.Background(), a)
	if f == faultAnswerLost {
		c.answer = WriteUnknown{}
	}
}

// advance serves or delivers the oldest call of an owner.
func (m *claimModel) advance(owner int, f fault, deliver bool) {
	if len(m.calls[owner]) == 0 {
		return
	}
	c := &m.calls[owner][0]
	if c.answer == nil {
		m.serve(owner, c, f)
	}
	m.observe()
	if deliver {
		answer := c.answer
		m.calls[owner] = slices.Delete(m.calls[owner], 0, 1)
		m.step(owner, answer)
	}
}

// applyLate applies a lost write if its condition still holds.
func (m *claimModel) applyLate(i int) {
	value, _ := EncodeHead(m.late[i].write.Head)
	_, _ = m.store.Put(context.Background(), HeadKey(0), value,
		platform.IfVersion(platform.Version(m.late[i].write.IfVersion)))
	m.late = slices.Delete(m.late, i, i+1)
	m.observe()
}

// restart loses an owner's memory. What it held stays held: it may have run.
func (m *claimModel) restart(owner int) {
	m.owners[owner] = NewPartition(modelConfig)
	m.calls[owner] = nil
	maps.DeleteFunc(m.ops, func(_ WaiterID, o *modelOp) bool { return o.owner == owner })
	maps.DeleteFunc(m.ended, func(_ AttemptID, o *modelOp) bool { return o.owner == owner })
}

// settle heals the store and runs everything to its end.
func (m *claimModel) settle() {
	for range 100 {
		for owner := range m.owners {
			for len(m.calls[owner]) > 0 {
				m.advance(owner, faultNone, true)
			}
		}
		m.now = m.now.Add(DefaultMaxBackoff)
		for owner, p := range m.owners {
			if at, ok := p.NextWake(); ok && !m.now.Before(at) {
				m.step(owner, Tick{})
			}
		}
	}
}

func TestPartitionHoldsClaimsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel(t, 3)
		owner := rapid.IntRange(0, len(m.owners)-1)
		key := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"})
		faults := rapid.SampledFrom([]fault{
			faultNone, faultNone, faultNone, faultNone, faultUnavailable, faultAnswerLost, faultLate,
		})
		t.Repeat(map[string]func(*rapid.T){
			"claim":  func(t *rapid.T) { m.claim(owner.Draw(t, "owner"), key.Draw(t, "key")) },
			"claim2": func(t *rapid.T) { m.claim(owner.Draw(t, "owner"), key.Draw(t, "key")) },
			"release": func(t *rapid.T) {
				scope := ScopeKey{Team: "team", Service: "booking", Key: key.Draw(t, "key")}
				id, held := m.holder[scope]
				if held {
					delete(m.holder, scope)
					m.submit(owner.Draw(t, "owner"), OpRelease, Record{Scope: scope, Attempt: id})
				}
			},
			"serve":    func(t *rapid.T) { m.advance(owner.Draw(t, "owner"), faults.Draw(t, "fault"), false) },
			"deliver":  func(t *rapid.T) { m.advance(owner.Draw(t, "owner"), faults.Draw(t, "fault"), true) },
			"deliver2": func(t *rapid.T) { m.advance(owner.Draw(t, "owner"), faults.Draw(t, "fault"), true) },
			"deliver3": func(t *rapid.T) { m.advance(owner.Draw(t, "owner"), faultNone, true) },
			"late": func(t *rapid.T) {
				if len(m.late) > 0 {
					m.applyLate(rapid.IntRange(0, len(m.late)-1).Draw(t, "late"))
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				m.step(owner.Draw(t, "owner"), Tick{})
			},
			"delete": func(t *rapid.T) {
				if len(m.deletes) > 0 {
					i := rapid.IntRange(0, len(m.deletes)-1).Draw(t, "delete")
					_ = m.store.Delete(t.Context(), m.deletes[i], platform.Condition{})
					m.deletes = slices.Delete(m.deletes, i, i+1)
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					m.restart(owner.Draw(t, "owner"))
				}
			},
			"": func(t *rapid.T) {
				if _, _, whole := m.store.truth(ScopeKey{}); !whole {
					t.Fatal("the head refers to a segment that does not exist")
				}
			},
		})
		m.settle()
		m.checkEnd()
	})
}

func (m *claimModel) checkEnd() {
	if len(m.ops) > 0 {
		m.t.Fatalf("%d operations got no reply", len(m.ops))
	}
	for i := len(m.late) - 1; i >= 0; i-- {
		m.applyLate(i)
	}
	for id, o := range m.ended {
		got, found, _ := m.store.truth(o.record.Scope)
		if found && got.Attempt == id && got.State == StateClaimed {
			m.t.Fatalf("attempt %s ended without a claim but the store has one", id)
		}
	}
	for key, id := range m.holder {
		got, _, _ := m.store.truth(key)
		if got.Attempt != id || got.State != StateClaimed {
			m.t.Fatalf("the claim of %s was lost: %+v", id, got)
		}
	}
}
