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
	// vmListInterval is the minimum age at which the VM list is read again.
	vmListInterval = time.Second
	// vmListJitterPerRouter is the range of the random delay of a read for each
	// other router of the region. maxVMListJitter limits the range.
	vmListJitterPerRouter = 100 * time.Millisecond
	maxVMListJitter       = 2 * time.Second
)

// vmListPoller keeps the VM list up to date. The first router of a region whose
// read is due reads the list and sends the changes to the others, which postpones
// their reads. The region therefore makes about one read a second, whatever its
// size, and a router that receives no updates reads by itself. An update postpones
// the receiver's read only if its list then equals the sender's.
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

// run reads the platform's VM list whenever a read is due, until ctx ends. During
// an outage the last list stays in use.
func (p *vmListPoller) run(ctx context.Context, store platform.Store) {
	for ctx.Err() == nil {
		if wait := p.untilNextRead(time.Now()); wait > 0 {
			node.Pause(ctx, wait)
			continue
		}
		started := time.Now()
		list, err := store.VMs(ctx)
		p.scheduleNextRead(started)
		if err == nil {
			p.broadcast(p.membership.replaceVMs(list))
		}
	}
}

func (p *vmListPoller) untilNextRead(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.nextRead.Sub(now)
}

// scheduleNextRead postpones the next read after a read, a failed read or an
// update at the given time.
func (p *vmListPoller) scheduleNextRead(at time.Time) {
	others := len(p.sessions.RouterIDs(p.region))
	next := at.Add(vmListInterval + readJitter(others, rand.Float64()))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextRead = next
}

// readJitter returns the random delay of a read, so that the routers of a region
// do not read at the same time. random is in [0, 1).
func readJitter(others int, random float64) time.Duration {
	limit := min(time.Duration(others)*vmListJitterPerRouter, maxVMListJitter)
	return time.Duration(random * float64(limit))
}

// broadcast sends the update to the other routers of the region.
func (p *vmListPoller) broadcast(u *peerpb.VMListUpdate) {
	for _, id := range p.sessions.RouterIDs(p.region) {
		p.sessions.Send(id, &peerpb.Envelope{Body: &peerpb.Envelope_VmList{VmList: u}})
	}
}

// receive applies an update of another router of the region.
func (p *vmListPoller) receive(s *peer.Session, u *peerpb.VMListUpdate) {
	if s.Role() != peerpb.Role_ROLE_ROUTER || s.Location().Region != p.region {
		return
	}
	if p.membership.applyVMUpdate(u) {
		p.scheduleNextRead(time.Now())
	}
}
