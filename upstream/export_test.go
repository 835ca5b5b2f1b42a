package upstream

// IdleConnections returns the number of kept connections that no request uses.
func (p *Pool) IdleConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
