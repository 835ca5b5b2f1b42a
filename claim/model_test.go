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

// pendingCall is a store call of a simulated router. The result is computed and
// delivered in separate steps, so that the router can pause in between.
type pendingCall struct {
	action Action
	result Event
}

// delayedWrite is a head write that was reported as WriteUnknown and can still be
// applied.
type delayedWrite struct {
	router int
	write  WriteHead
}

// claimModel runs several routers against the same partition of one store. Each
// router has its own Partition.
type claimModel struct {
	t          *rapid.T
	now        time.Time
	store      *fakeStore
	partitions []*Partition
	calls      [][]pendingCall
	delayed    []delayedWrite

	lastID int
	ops    map[WaiterID]*modelOp
	// granted holds the attempt that may run, by key.
	granted map[ScopeKey]AttemptID
	// notGranted holds the operations whose attempt must not hold a claim in the
	// end: claims that were not granted, and releases.
	notGranted map[AttemptID]*modelOp
	// deletes lists the segments to delete. The deletes run in any order.
	deletes []string
}

// modelOp is an operation of a router that has not restarted since its submit.
type modelOp struct {
	op     Op
	router int
	record Record
	// holders is the set of attempts that held the claim since the submit.
	holders map[AttemptID]bool
}

var modelConfig = Config{SegmentBytes: 700, MaxBatch: 4, MaxPending: 3, MaxOrphans: 1000}

func newClaimModel(t *rapid.T, routers int) *claimModel {
	m := &claimModel{
		t: t, now: time.Unix(0, 0), store: newFakeStore(), calls: make([][]pendingCall, routers),
		ops:     map[WaiterID]*modelOp{},
		granted: map[ScopeKey]AttemptID{}, notGranted: map[AttemptID]*modelOp{},
	}
	for range routers {
		m.partitions = append(m.partitions, NewPartition(modelConfig))
	}
	return m
}

func (m *claimModel) step(router int, ev Event) {
	m.recordHolders()
	for _, a := range m.partitions[router].Step(m.now, ev) {
		switch a := a.(type) {
		case Reply:
			m.reply(router, a)
		case DeleteSegment:
			m.deletes = append(m.deletes, a.Key)
		default:
			m.calls[router] = append(m.calls[router], pendingCall{action: a})
		}
	}
}

// recordHolders adds the current holder of the key to each pending operation.
func (m *claimModel) recordHolders() {
	for _, o := range m.ops {
		if r, found, _ := m.store.storedRecord(o.record.Scope); found && r.State == StateClaimed {
			o.holders[r.Attempt] = true
		}
	}
}

func (m *claimModel) reply(router int, r Reply) {
	o, ok := m.ops[r.Waiter]
	if !ok || o.router != router {
		m.t.Fatalf("reply %+v to waiter %d, which does not wait at router %d", r.Result, r.Waiter, router)
	}
	delete(m.ops, r.Waiter)
	if o.op == OpClaim {
		m.claimReplied(o, r.Result)
	}
}

func (m *claimModel) claimReplied(o *modelOp, r Result) {
	record := o.record
	if r.Status != StatusClaimed {
		m.notGranted[record.Attempt] = o
		if r.Status == StatusAlreadyClaimed && !o.holders[r.Record.Attempt] {
			m.t.Fatalf("%s was rejected in favor of %s, which held no claim since the submit", record.Attempt, r.Record.Attempt)
		}
		return
	}
	if old, held := m.granted[record.Scope]; held {
		m.t.Fatalf("key %v was granted to both %s and %s", record.Scope, old, record.Attempt)
	}
	if got, _, _ := m.store.storedRecord(record.Scope); got.Attempt != record.Attempt || got.State != StateClaimed {
		m.t.Fatalf("claim of %s was granted but the store has %+v", record.Attempt, got)
	}
	m.granted[record.Scope] = record.Attempt
}

func (m *claimModel) submit(router int, op Op, r Record) {
	m.lastID++
	id := WaiterID(m.lastID)
	o := &modelOp{op: op, router: router, record: r, holders: map[AttemptID]bool{}}
	m.ops[id] = o
	if op == OpRelease {
		m.notGranted[r.Attempt] = o
	}
	m.step(router, Submit{Op: op, Record: r, Waiter: id})
}

func (m *claimModel) claim(router int, key string) {
	r := Record{
		Scope:   ScopeKey{Team: "team", Service: "booking", Key: key},
		Attempt: AttemptID(fmt.Sprintf("a%d", m.lastID+1)),
		Router:  fleet.NodeID(fmt.Sprintf("r%d", router)), Digest: "d",
	}
	m.submit(router, OpClaim, r)
}

// fault is a fault injected into a store call.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultResponseLost
	faultDelayed
)

// performCall executes a store call with a fault and sets its result.
func (m *claimModel) performCall(router int, c *pendingCall, f fault) {
	d := &driver{committer: &Committer{store: m.store, ctx: m.t.Context(), cfg: CommitterConfig{Log: zap.NewNop()}}}
	m.store.unavailable = f == faultUnavailable
	defer func() { m.store.unavailable = false }()
	ctx := context.Background()
	switch a := c.action.(type) {
	case ReadHead:
		c.result = d.readHead(ctx)
	case ReadSegment:
		c.result = d.readSegment(ctx, a)
	case WriteSegment:
		c.result = d.writeSegment(ctx, a)
	case WriteHead:
		m.performWrite(router, d, c, a, f)
	}
}

func (m *claimModel) performWrite(router int, d *driver, c *pendingCall, a WriteHead, f fault) {
	if f == faultDelayed {
		m.delayed = append(m.delayed, delayedWrite{router, a})
		c.result = WriteUnknown{}
		return
	}
	c.result = d.writeHead(context.Background(), a)
	if f == faultResponseLost {
		c.result = WriteUnknown{}
	}
}

// advanceCall executes the oldest call of a router if it has no result yet. If
// deliver is set, it then delivers the result.
func (m *claimModel) advanceCall(router int, f fault, deliver bool) {
	if len(m.calls[router]) == 0 {
		return
	}
	c := &m.calls[router][0]
	if c.result == nil {
		m.performCall(router, c, f)
	}
	m.recordHolders()
	if deliver {
		result := c.result
		m.calls[router] = slices.Delete(m.calls[router], 0, 1)
		m.step(router, result)
	}
}

// applyDelayed applies a delayed write if its condition still holds.
func (m *claimModel) applyDelayed(i int) {
	value, _ := EncodeHead(m.delayed[i].write.Head)
	_, _ = m.store.Put(context.Background(), HeadKey(0), value,
		platform.IfVersion(platform.Version(m.delayed[i].write.IfVersion)))
	m.delayed = slices.Delete(m.delayed, i, i+1)
	m.recordHolders()
}

// restart discards a router's memory. Its granted claims stay granted: their
// requests may have run.
func (m *claimModel) restart(router int) {
	m.partitions[router] = NewPartition(modelConfig)
	m.calls[router] = nil
	maps.DeleteFunc(m.ops, func(_ WaiterID, o *modelOp) bool { return o.router == router })
	maps.DeleteFunc(m.notGranted, func(_ AttemptID, o *modelOp) bool { return o.router == router })
}

// drain completes all calls without faults, over 100 backoff periods, so that
// every operation ends and every orphan is released.
func (m *claimModel) drain() {
	for range 100 {
		for router := range m.partitions {
			for len(m.calls[router]) > 0 {
				m.advanceCall(router, faultNone, true)
			}
		}
		m.now = m.now.Add(DefaultMaxBackoff)
		for router, p := range m.partitions {
			if at, ok := p.NextWake(); ok && !m.now.Before(at) {
				m.step(router, Tick{})
			}
		}
	}
}

// Several routers claim and release the same keys while store calls fail, lose
// their results or are applied late, segments are deleted and routers restart: no
// key is granted to two attempts, and no rejected attempt keeps a claim.
func TestPartitionGrantsClaimsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel(t, 3)
		router := rapid.IntRange(0, len(m.partitions)-1)
		key := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"})
		faults := rapid.SampledFrom([]fault{
			faultNone, faultNone, faultNone, faultNone, faultUnavailable, faultResponseLost, faultDelayed,
		})
		t.Repeat(map[string]func(*rapid.T){
			"claim":  func(t *rapid.T) { m.claim(router.Draw(t, "owner"), key.Draw(t, "key")) },
			"claim2": func(t *rapid.T) { m.claim(router.Draw(t, "owner"), key.Draw(t, "key")) },
			"release": func(t *rapid.T) {
				scope := ScopeKey{Team: "team", Service: "booking", Key: key.Draw(t, "key")}
				id, held := m.granted[scope]
				if held {
					delete(m.granted, scope)
					m.submit(router.Draw(t, "owner"), OpRelease, Record{Scope: scope, Attempt: id})
				}
			},
			"serve":    func(t *rapid.T) { m.advanceCall(router.Draw(t, "owner"), faults.Draw(t, "fault"), false) },
			"deliver":  func(t *rapid.T) { m.advanceCall(router.Draw(t, "owner"), faults.Draw(t, "fault"), true) },
			"deliver2": func(t *rapid.T) { m.advanceCall(router.Draw(t, "owner"), faults.Draw(t, "fault"), true) },
			"deliver3": func(t *rapid.T) { m.advanceCall(router.Draw(t, "owner"), faultNone, true) },
			"late": func(t *rapid.T) {
				if len(m.delayed) > 0 {
					m.applyDelayed(rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late"))
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				m.step(router.Draw(t, "owner"), Tick{})
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
					m.restart(router.Draw(t, "owner"))
				}
			},
			"": func(t *rapid.T) {
				if _, _, intact := m.store.storedRecord(ScopeKey{}); !intact {
					t.Fatal("the head refers to a segment that does not exist")
				}
			},
		})
		m.drain()
		m.checkFinalState()
	})
}

func (m *claimModel) checkFinalState() {
	if len(m.ops) > 0 {
		m.t.Fatalf("%d operations got no reply", len(m.ops))
	}
	for i := len(m.delayed) - 1; i >= 0; i-- {
		m.applyDelayed(i)
	}
	for id, o := range m.notGranted {
		got, found, _ := m.store.storedRecord(o.record.Scope)
		if found && got.Attempt == id && got.State == StateClaimed {
			m.t.Fatalf("attempt %s was not granted a claim but holds one in the store", id)
		}
	}
	for key, id := range m.granted {
		got, _, _ := m.store.storedRecord(key)
		if got.Attempt != id || got.State != StateClaimed {
			m.t.Fatalf("the claim of %s was lost; the store has %+v", id, got)
		}
	}
}
