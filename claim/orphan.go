package claim

import "slices"

// orphan is an attempt that must not hold its claim, although the store may
// have it: its outcome was unknown when its waiter was refused, or its release
// could not be written.
type orphan struct {
	record Record
	// fence is the version at which the attempt became an orphan. While the
	// head has it, an unknown write of the claim can still be applied.
	fence Version
}

// addOrphan remembers an attempt to release. Past the bound it is not
// remembered: its claim stays, so its key cannot run again, which is safe.
func (p *Partition) addOrphan(e entry) {
	same := func(o orphan) bool { return o.record.Attempt == e.record.Attempt }
	if len(p.orphans) >= p.cfg.MaxOrphans || slices.ContainsFunc(p.orphans, same) {
		return
	}
	p.orphans = append(p.orphans, orphan{record: e.record, fence: p.version})
}

// markSuspects notes that the claims of the batch may be applied.
func (p *Partition) markSuspects() {
	for i := range p.batch {
		if p.batch[i].op == OpClaim {
			p.batch[i].suspect = true
		}
	}
}

// fencePending reports whether an unknown write of the batch's orphans
// can still be
// applied at the current version.
func (p *Partition) fencePending() bool {
	return slices.ContainsFunc(p.orphans[:p.batchOrphans], func(o orphan) bool {
		return o.fence == p.version
	})
}
