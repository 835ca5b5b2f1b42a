package claim

import "slices"

// orphan is an attempt that must not hold a claim but may have one in the store:
// the outcome of its claim was unknown when the operation was rejected, or its
// release could not be written.
type orphan struct {
	record Record
	// fenceVersion is the head version at which the attempt became an orphan.
	// While the head has this version, a claim write of unknown outcome can still
	// be applied.
	fenceVersion Version
}

// addOrphan adds an attempt to release. Beyond MaxOrphans the attempt is not
// added: its claim stays, and a request with its key cannot run again, which is
// safe.
func (p *Partition) addOrphan(e entry) {
	same := func(o orphan) bool { return o.record.Attempt == e.record.Attempt }
	if len(p.orphans) >= p.cfg.MaxOrphans || slices.ContainsFunc(p.orphans, same) {
		return
	}
	p.orphans = append(p.orphans, orphan{record: e.record, fenceVersion: p.version})
}

// markClaimsUncertain marks the claims of the batch as possibly recorded.
func (p *Partition) markClaimsUncertain() {
	for i := range p.batch {
		if p.batch[i].op == OpClaim {
			p.batch[i].mayBeRecorded = true
		}
	}
}

// fenceRequired reports whether a write of unknown outcome can still be applied
// for an orphan of the batch. Such a write is ruled out by a head write that
// changes the version.
func (p *Partition) fenceRequired() bool {
	return slices.ContainsFunc(p.orphans[:p.batchOrphans], func(o orphan) bool {
		return o.fenceVersion == p.version
	})
}
