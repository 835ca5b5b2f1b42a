//go:build review

package lab

import (
	"net"
	"sync"
)

// Proxy passes connections on to a target and can make the open ones go silent.
type Proxy struct {
	Address string
	target  string

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	silent         chan struct{}
}

// NewProxy starts a proxy.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: ln.Addr().String(), target: target, links: map[*link]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return p, nil
}

func (p *Proxy) pass(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	l := &link{client: client, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(client, server) })
	wg.Go(func() { l.copy(server, client) })
	wg.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy passes bytes on until the connection ends. What arrives on a silent connection, its
// end included, is dropped.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-l.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			l.client.Close()
			l.server.Close()
			return
		}
	}
}

// Silence makes all open connections go silent for good, without a reset, and returns how
// many those are. New connections work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := len(p.links)
	for l := range p.links {
		close(l.silent)
		delete(p.links, l)
	}
	return count
}
