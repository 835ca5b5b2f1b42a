// Package faultproxy forwards TCP connections between processes under test and
// injects network faults, each link on its own.
package faultproxy

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// dialTimeout bounds one connect to the target.
const dialTimeout = 5 * time.Second

// ErrListen reports that a link can't listen on its address.
var ErrListen = eris.New("faultproxy: listen")

// everySource is the key of the faults that hold for all sources.
const everySource = ""

// faults are the faults in force on a link, for all sources or for one.
type faults struct {
	cut       bool
	frozen    bool
	halfClose bool
	delay     time.Duration
}

// with returns the faults of both.
func (f faults) with(other faults) faults {
	return faults{
		cut:       f.cut || other.cut,
		frozen:    f.frozen || other.frozen,
		halfClose: f.halfClose || other.halfClose,
		delay:     max(f.delay, other.delay),
	}
}

// Link forwards connections from one address to one target. Its methods may be
// called from any goroutine. Those that take sources act on the connections
// from these IP addresses only; without any they act on all connections.
type Link struct {
	listen string
	target string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	faults   map[string]faults
	changed  chan struct{}
	listener net.Listener
	pairs    map[*pair]struct{}
}

// NewLink starts to forward from listen (host:port, port 0 for any) to target.
func NewLink(listen, target string) (*Link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		listen:  listen,
		target:  target,
		ctx:     ctx,
		cancel:  cancel,
		faults:  map[string]faults{},
		changed: make(chan struct{}),
		pairs:   map[*pair]struct{}{},
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.openLocked(); err != nil {
		cancel()
		return nil, err
	}
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listen
}

// Cut resets the connections and refuses new ones until Heal.
func (l *Link) Cut(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(sources, func(f *faults) { f.cut = true })
	if len(sources) == 0 {
		l.closeListenerLocked()
	}
	l.resetLocked(sources)
}

// Freeze holds all bytes in both directions until Heal, without closing
// anything. New connections are accepted and held too.
func (l *Link) Freeze(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(sources, func(f *faults) { f.frozen = true })
}

// Delay delays bytes by d in each direction, without limiting throughput; 0
// ends the delay.
func (l *Link) Delay(d time.Duration, sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(sources, func(f *faults) { f.delay = d })
}

// HalfClose ends the direction to the target, on present and new connections,
// until Heal. The direction from the target stays open.
func (l *Link) HalfClose(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setLocked(sources, func(f *faults) { f.halfClose = true })
}

// Reset resets the present connections once.
func (l *Link) Reset(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetLocked(sources)
}

// Heal ends the faults of the sources; without any it ends all faults. Delays
// stay.
func (l *Link) Heal(sources ...string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(sources) == 0 {
		sources = slices.Collect(maps.Keys(l.faults))
	}
	l.setLocked(sources, func(f *faults) { *f = faults{delay: f.delay} })
	if l.listener != nil || l.faults[everySource].cut || l.ctx.Err() != nil {
		return nil
	}
	return l.openLocked()
}

// Connections returns the count of present connections.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pairs)
}

// Sources returns the IP addresses that present connections come from.
func (l *Link) Sources() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sources []string
	for p := range l.pairs {
		sources = append(sources, p.source)
	}
	slices.Sort(sources)
	return slices.Compact(sources)
}

// Close ends the link and waits for its goroutines.
func (l *Link) Close() {
	l.cancel()
	l.mu.Lock()
	l.closeListenerLocked()
	l.resetLocked(nil)
	l.mu.Unlock()
	l.wg.Wait()
}

// state returns the faults in force for a source and a channel that is closed
// at their next change.
func (l *Link) state(source string) (faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faultsLocked(source), l.changed
}

func (l *Link) faultsLocked(source string) faults {
	return l.faults[everySource].with(l.faults[source])
}

func (l *Link) setLocked(sources []string, f func(*faults)) {
	if len(sources) == 0 {
		sources = []string{everySource}
	}
	for _, source := range sources {
		value := l.faults[source]
		f(&value)
		l.faults[source] = value
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) openLocked() error {
	var config net.ListenConfig
	listener, err := config.Listen(l.ctx, "tcp", l.listen)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	// The port is kept over a cut and a heal.
	l.listen = listener.Addr().String()
	l.listener = listener
	l.wg.Add(1)
	go l.accept(listener)
	return nil
}

func (l *Link) closeListenerLocked() {
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
}

func (l *Link) resetLocked(sources []string) {
	for p := range l.pairs {
		if len(sources) == 0 || slices.Contains(sources, p.source) {
			p.reset()
		}
	}
}

func (l *Link) accept(listener net.Listener) {
	defer l.wg.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.wg.Add(1)
		go l.serve(conn.(*net.TCPConn))
	}
}

func (l *Link) serve(client *net.TCPConn) {
	defer l.wg.Done()
	defer client.Close()
	source := client.RemoteAddr().(*net.TCPAddr).IP.String()
	if !l.awaitThaw(source) {
		abort(client)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		abort(client)
		return
	}
	defer conn.Close()
	p := newPair(l, source, client, conn.(*net.TCPConn))
	if !l.add(p) {
		p.reset()
		return
	}
	defer l.remove(p)
	p.run()
}

// awaitThaw waits while a source is frozen and reports whether its connection
// may go on.
func (l *Link) awaitThaw(source string) bool {
	for {
		f, changed := l.state(source)
		if !f.frozen || f.cut {
			return !f.cut && l.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
}

func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faultsLocked(p.source).cut || l.ctx.Err() != nil {
		return false
	}
	l.pairs[p] = struct{}{}
	return true
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}
