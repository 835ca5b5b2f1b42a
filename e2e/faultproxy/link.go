// Package faultproxy forwards TCP connections between processes under test and
// injects network faults. Faults are set separately for each link.
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

// dialTimeout bounds one connection attempt to the target.
const dialTimeout = 5 * time.Second

// ErrListen is returned when a link can't listen on its address.
var ErrListen = eris.New("faultproxy: listen")

// allSources is the key of the faults that apply to all sources.
const allSources = ""

// faults are the active faults of a link, for all sources or for one.
type faults struct {
	cut       bool
	frozen    bool
	halfClose bool
	delay     time.Duration
}

// merge returns the union of two sets of faults, with the longer delay.
func (f faults) merge(other faults) faults {
	return faults{
		cut:       f.cut || other.cut,
		frozen:    f.frozen || other.frozen,
		halfClose: f.halfClose || other.halfClose,
		delay:     max(f.delay, other.delay),
	}
}

// Link forwards connections from one listen address to one target. It is safe
// for concurrent use. Methods that take sources affect only connections from
// these IP addresses; without any they affect all connections.
type Link struct {
	listen string
	target string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu sync.Mutex
	// faults holds the faults by source IP address, or allSources.
	faults map[string]faults
	// changed is closed and replaced when a fault changes.
	changed chan struct{}
	// listener is nil while the link is cut for all sources.
	listener net.Listener
	conns    map[*proxyConn]struct{}
}

// NewLink starts forwarding from listen (host:port, port 0 for a free port) to
// target.
func NewLink(listen, target string) (*Link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		listen:  listen,
		target:  target,
		ctx:     ctx,
		cancel:  cancel,
		faults:  map[string]faults{},
		changed: make(chan struct{}),
		conns:   map[*proxyConn]struct{}{},
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.listenLocked(); err != nil {
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

// Cut resets open connections and refuses new ones until Heal.
func (l *Link) Cut(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLocked(sources, func(f *faults) { f.cut = true })
	if len(sources) == 0 {
		l.closeListenerLocked()
	}
	l.resetLocked(sources)
}

// Freeze stops forwarding in both directions until Heal, without closing
// connections. New connections are accepted and also not forwarded.
func (l *Link) Freeze(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLocked(sources, func(f *faults) { f.frozen = true })
}

// Delay adds a latency of d in each direction without limiting throughput; 0
// removes it.
func (l *Link) Delay(d time.Duration, sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLocked(sources, func(f *faults) { f.delay = d })
}

// HalfClose closes the direction to the target, on open and new connections,
// until Heal. The direction from the target stays open.
func (l *Link) HalfClose(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateLocked(sources, func(f *faults) { f.halfClose = true })
}

// Reset resets open connections once.
func (l *Link) Reset(sources ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetLocked(sources)
}

// Silence makes the connections that are open now go silent for good, without closing
// them: what arrives on them is acknowledged and dropped. New connections work. It returns
// how many went silent.
func (l *Link) Silence(sources ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for p := range l.conns {
		if len(sources) == 0 || slices.Contains(sources, p.source) {
			p.silence()
			count++
		}
	}
	return count
}

// Heal removes the faults of the given sources, or all faults if none are
// given. Delays stay in force.
func (l *Link) Heal(sources ...string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(sources) == 0 {
		sources = slices.Collect(maps.Keys(l.faults))
	}
	l.updateLocked(sources, func(f *faults) { *f = faults{delay: f.delay} })
	if l.listener != nil || l.faults[allSources].cut || l.ctx.Err() != nil {
		return nil
	}
	return l.listenLocked()
}

// Connections returns the number of open connections.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Sources returns the client IP addresses of open connections.
func (l *Link) Sources() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sources []string
	for p := range l.conns {
		sources = append(sources, p.source)
	}
	slices.Sort(sources)
	return slices.Compact(sources)
}

// Close closes the listener and all connections and waits for the goroutines.
func (l *Link) Close() {
	l.cancel()
	l.mu.Lock()
	l.closeListenerLocked()
	l.resetLocked(nil)
	l.mu.Unlock()
	l.wg.Wait()
}

// currentFaults returns the active faults of a source and a channel that is
// closed when any fault of the link changes.
func (l *Link) currentFaults(source string) (faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faultsLocked(source), l.changed
}

func (l *Link) faultsLocked(source string) faults {
	return l.faults[allSources].merge(l.faults[source])
}

func (l *Link) updateLocked(sources []string, update func(*faults)) {
	if len(sources) == 0 {
		sources = []string{allSources}
	}
	for _, source := range sources {
		value := l.faults[source]
		update(&value)
		l.faults[source] = value
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) listenLocked() error {
	var config net.ListenConfig
	listener, err := config.Listen(l.ctx, "tcp", l.listen)
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	// A port that the kernel chose is kept when the link is cut and healed.
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
	for p := range l.conns {
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
		go l.handle(conn.(*net.TCPConn))
	}
}

func (l *Link) handle(client *net.TCPConn) {
	defer l.wg.Done()
	defer client.Close()
	source := client.RemoteAddr().(*net.TCPAddr).IP.String()
	if !l.waitWhileFrozen(source) {
		closeWithRST(client)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(l.ctx, "tcp", l.target)
	if err != nil {
		closeWithRST(client)
		return
	}
	defer conn.Close()
	p := newProxyConn(l, source, client, conn.(*net.TCPConn))
	if !l.add(p) {
		p.reset()
		return
	}
	defer l.remove(p)
	p.run()
}

// waitWhileFrozen waits while a source is frozen. It returns false if the source
// was cut or the link closed.
func (l *Link) waitWhileFrozen(source string) bool {
	for {
		f, changed := l.currentFaults(source)
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

func (l *Link) add(p *proxyConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faultsLocked(p.source).cut || l.ctx.Err() != nil {
		return false
	}
	l.conns[p] = struct{}{}
	return true
}

func (l *Link) remove(p *proxyConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}
