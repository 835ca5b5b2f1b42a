package claim

// plan is the outcome of a batch decided by the current head.
type plan struct {
	// results holds the result of each entry of the batch. They are valid once the
	// store has confirmed the head that the plan is based on or writes.
	results []Result
	// write is set if head must be written.
	write bool
	head  Head
	// seal is set if the segment sealed must be written before head.
	seal   bool
	sealed SegmentRef
	// dropped lists the expired segments that head no longer refers to.
	dropped []deletionCandidate
	// full is set if head would exceed maxSegments.
	full bool
}

// planner applies a batch to a copy of the head.
type planner struct {
	part *Partition
	// changed holds the records that the batch adds or changes, by key. order lists
	// their keys in the order of the first change.
	changed map[ScopeKey]Record
	order   []ScopeKey
}

// buildPlan decides the batch by the current head. All segments that the batch
// needs must be in the cache.
func (p *Partition) buildPlan() plan {
	pl := &planner{part: p, changed: map[ScopeKey]Record{}}
	for _, o := range p.orphans[:p.batchOrphans] {
		pl.release(o.record)
	}
	results := make([]Result, 0, len(p.batch))
	for _, e := range p.batch {
		results = append(results, pl.apply(e))
	}
	out := plan{results: results}
	out.write = len(pl.order) > 0 || p.fenceRequired()
	if out.write {
		p.planWrite(&out, pl)
	}
	return out
}

// planWrite sets the head to write and the segment to seal before it.
func (p *Partition) planWrite(out *plan, pl *planner) {
	head := p.head.clone()
	head.Writes++
	p.dropExpired(&head, out)
	if len(head.Records) > 0 && head.size()+pl.size() > p.cfg.SegmentBytes {
		out.seal = true
		out.sealed = SegmentRef{
			Key:      segmentKey(p.cfg.Partition, p.version, head.Records),
			SealedAt: p.modified,
			Count:    len(head.Records),
		}
		head.Sealed = append(head.Sealed, out.sealed)
		head.Records = nil
	}
	out.full = len(head.Sealed) > maxSegments
	pl.appendTo(&head)
	out.head = head
}

// dropExpired removes the references to segments past their retention. It
// compares two timestamps of the platform. The head's modification time is never
// later than the platform's current time, so no segment expires too early.
func (p *Partition) dropExpired(head *Head, out *plan) {
	if !p.modifiedKnown {
		return
	}
	kept := head.Sealed[:0]
	for _, ref := range head.Sealed {
		if p.modified.Sub(ref.SealedAt) > p.cfg.Retention {
			out.dropped = append(out.dropped, deletionCandidate{key: ref.Key, version: p.version})
			continue
		}
		kept = append(kept, ref)
	}
	head.Sealed = kept
}

func (pl *planner) size() int {
	n := 0
	for _, r := range pl.changed {
		n += r.size()
	}
	return n
}

// appendTo adds the changed records to a head, replacing any record of the same
// key.
func (pl *planner) appendTo(head *Head) {
	at := make(map[ScopeKey]int, len(head.Records))
	for i, r := range head.Records {
		at[r.Scope] = i
	}
	for _, key := range pl.order {
		if i, ok := at[key]; ok {
			head.Records[i] = pl.changed[key]
			continue
		}
		head.Records = append(head.Records, pl.changed[key])
	}
}

func (pl *planner) lookup(key ScopeKey) (Record, bool) {
	if r, ok := pl.changed[key]; ok {
		return r, true
	}
	return pl.part.lookup(key)
}

func (pl *planner) set(r Record) {
	if _, ok := pl.changed[r.Scope]; !ok {
		pl.order = append(pl.order, r.Scope)
	}
	pl.changed[r.Scope] = r
}

func (pl *planner) apply(e entry) Result {
	switch e.op {
	case OpClaim:
		return pl.claim(e.record)
	case OpRelease:
		pl.release(e.record)
		return Result{Status: StatusReleased}
	default:
		return pl.find(e.record.Scope)
	}
}

func (pl *planner) claim(r Record) Result {
	r.State = StateClaimed
	old, ok := pl.lookup(r.Scope)
	switch {
	case !ok:
		pl.set(r)
		return Result{Status: StatusClaimed}
	case old.Attempt == r.Attempt && old.State == StateReleased:
		return Result{Status: StatusReleased}
	case old.Attempt == r.Attempt:
		return Result{Status: StatusClaimed}
	case old.Digest != r.Digest:
		return Result{Status: StatusKeyReused, Record: old}
	case old.State == StateReleased:
		pl.set(r)
		return Result{Status: StatusClaimed}
	default:
		return Result{Status: StatusAlreadyClaimed, Record: old}
	}
}

// release marks the claim of an attempt as released if the attempt holds it.
func (pl *planner) release(r Record) {
	old, ok := pl.lookup(r.Scope)
	if !ok || old.Attempt != r.Attempt || old.State != StateClaimed {
		return
	}
	old.State = StateReleased
	pl.set(old)
}

func (pl *planner) find(key ScopeKey) Result {
	r, ok := pl.lookup(key)
	if !ok {
		return Result{Status: StatusNotFound}
	}
	return Result{Status: StatusFound, Record: r}
}
