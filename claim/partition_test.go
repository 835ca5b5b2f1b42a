package claim

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var t0 = time.Unix(1_000_000, 0)

func testRecord(key, attempt string) Record {
	return Record{
		Scope:   ScopeKey{Team: "team", Service: "booking", Key: key},
		Attempt: AttemptID(attempt), Router: "router", Incarnation: 1, Digest: "digest", State: StateClaimed,
	}
}

func claimEvent(key, attempt string, w WaiterID) Submit {
	return Submit{Op: OpClaim, Record: testRecord(key, attempt), Waiter: w}
}

// A write of unknown outcome that the head does not show can still be applied
// later, so the partition changes the head version before it drops the orphan.
func TestPartitionFencesUnknownWrite(t *testing.T) {
	g := NewWithT(t)
	p := NewPartition(Config{})
	g.Expect(p.Step(t0, claimEvent("k", "a", 1))).To(Equal([]Action{ReadHead{}}))
	p.Step(t0, ReadDone{Version: 7})
	p.Step(t0, WriteUnknown{})
	g.Expect(p.Step(t0, ReadFailed{})).To(ConsistOf(HaveField("Result.Status", StatusUnavailable)))

	at, ok := p.NextWake()
	g.Expect(ok).To(BeTrue())
	g.Expect(p.Step(at, Tick{})).To(Equal([]Action{WriteHead{Head: Head{Writes: 1}, IfVersion: 7}}))
	p.Step(at, WriteConflict{})
	late := Head{Writes: 1, Records: []Record{testRecord("k", "a")}}
	released := testRecord("k", "a")
	released.State = StateReleased
	g.Expect(p.Step(at, ReadDone{Head: late, Version: 8})).To(Equal([]Action{
		WriteHead{Head: Head{Writes: 2, Records: []Record{released}}, IfVersion: 8},
	}))
	p.Step(at, WriteDone{Version: 9})
	_, ok = p.NextWake()
	g.Expect(ok).To(BeFalse())
}

func TestPartitionBatchesOperations(t *testing.T) {
	g := NewWithT(t)
	p := NewPartition(Config{MaxBatch: 2, MaxPending: 3})
	p.Step(t0, claimEvent("k0", "a0", 1))
	p.Step(t0, ReadDone{})
	for i := range 3 {
		g.Expect(p.Step(t0, claimEvent(fmt.Sprint("k", i+1), fmt.Sprint("a", i+1), WaiterID(i+2)))).To(BeEmpty())
	}
	full := p.Step(t0, claimEvent("k9", "a9", 9))
	g.Expect(full).To(ConsistOf(HaveField("Result.Status", StatusUnavailable)))
	out := p.Step(t0, WriteDone{Version: 1})
	g.Expect(out).To(HaveLen(2))
	g.Expect(out[0]).To(Equal(Reply{Waiter: 1, Result: Result{Status: StatusClaimed}}))
	g.Expect(out[1]).To(HaveField("Head.Records", HaveLen(3)))
}

func TestPartitionRejectsOperationsDuringBackoff(t *testing.T) {
	g := NewWithT(t)
	p := NewPartition(Config{})
	p.Step(t0, claimEvent("k", "a", 1))
	p.Step(t0, ReadDone{})
	p.Step(t0, WriteUnavailable{})
	out := p.Step(t0, claimEvent("k", "b", 2))
	g.Expect(out).To(Equal([]Action{Reply{
		Waiter: 2, Result: Result{Status: StatusUnavailable, RetryAfter: DefaultMinBackoff},
	}}))
	out = p.Step(t0.Add(DefaultMinBackoff), claimEvent("k", "c", 3))
	g.Expect(out).To(ConsistOf(BeAssignableToTypeOf(WriteHead{})))
}

// A release rejected because the queue is full is kept as an orphan for the next
// batch, which reads the head after the rejection.
func TestPartitionRetriesRejectedRelease(t *testing.T) {
	g := NewWithT(t)
	p := NewPartition(Config{MaxPending: 1})
	p.Step(t0, claimEvent("k1", "a1", 1))
	p.Step(t0, claimEvent("k2", "a2", 2))
	p.Step(t0, Submit{Op: OpRelease, Record: testRecord("k0", "a0"), Waiter: 3})
	p.Step(t0, ReadDone{Version: 1})
	p.Step(t0, WriteDone{Version: 2})
	p.Step(t0, WriteConflict{})
	out := p.Step(t0, ReadDone{Head: Head{Records: []Record{testRecord("k0", "a0")}}, Version: 3})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(WriteHead).Head.Records[0].State).To(Equal(StateReleased))
}

func TestPartitionRejectsReusedKey(t *testing.T) {
	g := NewWithT(t)
	p := NewPartition(Config{})
	other := testRecord("k", "b")
	other.Digest = "other"
	p.Step(t0, Submit{Op: OpClaim, Record: other, Waiter: 1})
	head := Head{Records: []Record{testRecord("k", "a")}}
	out := p.Step(t0, ReadDone{Head: head, Version: 1})
	g.Expect(out).To(Equal([]Action{Reply{
		Waiter: 1, Result: Result{Status: StatusKeyReused, Record: head.Records[0]},
	}}))
}

// Segments expire by the platform's timestamps. They are removed from the head
// first and then from the store. Keys in segments that have not expired stay
// claimed.
func TestPartitionDropsExpiredSegments(t *testing.T) {
	g := NewWithT(t)
	p := NewPartition(Config{SegmentBytes: 1, Retention: 2 * time.Hour})
	p.Step(t0, SetRetention{Retention: time.Hour})
	p.Step(t0, SetRetention{})
	head := Head{
		Sealed: []SegmentRef{
			{Key: "old", SealedAt: t0.Add(-time.Hour - time.Second)},
			{Key: "new", SealedAt: t0.Add(-time.Hour)},
		},
		Records: []Record{testRecord("k2", "a2")},
	}
	p.Step(t0, claimEvent("k3", "a3", 1))
	out := p.Step(t0, ReadDone{Head: head, Version: 5, Modified: t0})
	g.Expect(out).To(Equal([]Action{ReadSegment{Key: "old"}, ReadSegment{Key: "new"}}))
	p.Step(t0, SegmentRead{Key: "old", Records: []Record{testRecord("k0", "a0")}})
	out = p.Step(t0, SegmentRead{Key: "new", Records: []Record{testRecord("k1", "a1")}})
	key := segmentKey(0, 5, head.Records)
	g.Expect(out).To(Equal([]Action{WriteSegment{Key: key, Records: head.Records}}))
	out = p.Step(t0, SegmentWritten{Key: key})
	written := out[0].(WriteHead).Head
	g.Expect(written.Sealed).To(Equal([]SegmentRef{head.Sealed[1], {Key: key, SealedAt: t0, Count: 1}}))
	out = p.Step(t0, WriteDone{Version: 6})
	g.Expect(out).To(ConsistOf(DeleteSegment{Key: "old"}, HaveField("Result.Status", StatusClaimed)))

	out = p.Step(t0, claimEvent("k1", "a9", 2))
	g.Expect(out).To(Equal([]Action{ReadHead{}}))
	out = p.Step(t0, ReadDone{Head: written, Version: 6})
	g.Expect(out).To(ConsistOf(HaveField("Result.Record.Attempt", AttemptID("a1"))))
}

// A segment sealed at a version whose head write conflicted is deleted. The same
// records sealed at another version get another store key; otherwise a delayed
// delete would remove live records.
func TestPartitionSegmentKeyDependsOnVersion(t *testing.T) {
	g := NewWithT(t)
	records := []Record{testRecord("k1", "a1")}
	p := NewPartition(Config{SegmentBytes: 1})
	p.Step(t0, claimEvent("k2", "a2", 1))
	p.Step(t0, ReadDone{Head: Head{Records: records}, Version: 1})
	p.Step(t0, SegmentWritten{Key: segmentKey(0, 1, records)})
	p.Step(t0, WriteConflict{})
	out := p.Step(t0, ReadDone{Head: Head{Writes: 1, Records: records}, Version: 2})
	g.Expect(out).To(ConsistOf(
		DeleteSegment{Key: segmentKey(0, 1, records)},
		WriteSegment{Key: segmentKey(0, 2, records), Records: records},
	))
	g.Expect(segmentKey(0, 1, records)).NotTo(Equal(segmentKey(0, 2, records)))
}
