package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

const (
	// vmListInterval is the least age at which the VM list is read again.
	vmListInterval = time.Second
	// vmListJitter is added for each other router of the region, up to
	// maxVMListSpread: a router reads at a random time within the spread.
	vmListJitter    = 100 * time.Millisecond
	maxVMListJitter = 2 * time.Second
)

// vmListPoller keeps the VM list fresh. The first router of a region whose
// time has come reads it and tells the others what changed, which puts off
// their reads. So the region makes about one read a second, whatever its size,
// and a router that hears from none reads for itself. An update counts only if
// the receiver's list has become the sender's.
type vmListPoller struct {
	sessions   *node.Sessions
	region     fleet.RegionID
	membership *membership

	mu sync.Mutex
	// nextRead is the time of the next read.
	nextRead time.Time
}

func newVMListPoller(sessions *node.Sessions, region fleet.RegionID, m *membership) *vmListPoller {
	return &vmListPoller{sessions: sessions, region: region, membership: m}
}

// run reads the platform's VM list when it is due, until ctx ends. During an
// outage the last list stays in force.
func (f *vmListPoller) run(ctx context.Context, store platform.Store) {
	for ctx.Err() == nil {
		if wait := f.untilNextRead(time.Now()); wait > 0 {
			node.Pause(ctx, wait)
			continue
		}
		began := time.Now()
		list, err := store.VMs(ctx)
		f.scheduleNextRead(began)
		if err == nil {
			f.broadcast(f.membership.replaceVMs(list))
		}
	}
}

func (f *vmListPoller) untilNextRead(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextRead.Sub(now)
}

// scheduleNextRead puts the next read off: the list, or the try to read it, is of that
// time.
func (f *vmListPoller) scheduleNextRead(at time.Time) {
	others := len(f.sessions.Routers(f.region))
	next := at.Add(vmListInterval + readJitter(others, rand.Float64()))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextRead = next
}

// readJitter spreads the reads of the routers of a region; random is in [0, 1).
func readJitter(others int, random float64) time.Duration {
	spread := min(time.Duration(others)*vmListJitter, maxVMListJitter)
	return time.Duration(random * float64(spread))
}

// broadcast tells the other routers of the region what was read.
func (f *vmListPoller) broadcast(u *peerpb.VMListUpdate) {
	for _, id := range f.sessions.Routers(f.region) {
		f.sessions.Send(id, &peerpb.Envelope{Body: &peerpb.Envelope_VmList{VmList: u}})
	}
}

// receive takes what another router read.
func (f *vmListPoller) receive(s *peer.Session, u *peerpb.VMListUpdate) {
	if s.Role() != peerpb.Role_ROLE_ROUTER || s.Location().Region != f.region {
		return
	}
	if f.membership.applyVMUpdate(u) {
		f.scheduleNextRead(time.Now())
	}
}
