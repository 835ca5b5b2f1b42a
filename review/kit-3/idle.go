//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stockService = "hire-desk"
	stockPath    = "/stock/"
	stockKey     = "asnmgkcuyj8pjbvk9m68"
	// idleLimit is the time for which the configuration lets a client stay idle.
	idleLimit = 15 * time.Second
	// arrivalRate is the number of users a second that come to the zone noord-a of wkv-spindle.
	arrivalRate = 54
	// arrivalLength is for how long users come, each with a connection of its own.
	arrivalLength = 50 * time.Second
	// tryingClients try new connections for tryLength; the rule names seven.
	tryingClients = 10
	tryLength     = 8 * time.Second
)

func stockConfig() map[string]any {
	return map[string]any{
		"routes": []map[string]any{{
			"name": "stock-check", "host": "review.example", "pathPrefix": stockPath, "kind": "safe", "timeoutMs": 1200, "targetLatencyMs": 200,
			"priority": 2, "service": stockService, "maxAttempts": 2, "allowAnonymous": false, "stickySessions": false, "resumeStreams": false,
		}},
		"services": []map[string]any{{"name": stockService, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleLimit.Milliseconds(), "tokensPerS": 370000,
		},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{stockKey}, "priority": 1}},
	}
}

// idleConnections checks that a machine that says it is ready takes new connections, although
// earlier clients leave theirs open for longer than the configuration lets them be idle.
func idleConnections(o *testFleetOptions) (bool, error) {
	f, err := newFleet(o.root, o.rec, bounds{
		stable: 3 * time.Second, drain: 2500 * time.Millisecond, configApply: 2500 * time.Millisecond, grace: 8, ratio: 0.2, slack: 52,
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	f.operator = newOperator(f.store, f.rec, stockConfig())
	f.operator.newVersion(0)
	for _, zone := range engineOrder {
		if err := f.addServer(stockService, zone, 6, 30*time.Millisecond).start(); err != nil {
			return false, err
		}
	}
	if err := f.addGateways(engineZones, engineOrder); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(f.bounds.stable)
	target := f.gateways[1]
	users := &users{fleet: f, gateway: target, stay: o.trouble}
	defer users.leave()
	users.come()
	f.rec.summary("%d users came to %s within %v and were answered: %d; connections open: %d", users.came.Load(), target.name, arrivalLength, users.answered.Load(), users.openCount())
	if users.answered.Load() < users.came.Load()/2 {
		return false, errNotServed
	}
	return f.tryConnections(target), nil
}

// users come one after the other, and each sends one request on a connection of its own.
type users struct {
	fleet   *testFleet
	gateway *gatewayProcess
	// stay is set if they leave their connections open. Otherwise they close them when these
	// have been idle for idleLimit.
	stay           bool
	came, answered atomic.Int64

	mu   sync.Mutex
	open map[net.Conn]bool
}

func (u *users) come() {
	u.open = map[net.Conn]bool{}
	ticker := time.NewTicker(time.Second / arrivalRate)
	defer ticker.Stop()
	var wg sync.WaitGroup
	for end := time.Now().Add(arrivalLength); time.Now().Before(end); <-ticker.C {
		wg.Go(u.sendOne)
	}
	wg.Wait()
}

func (u *users) sendOne() {
	u.came.Add(1)
	conn, status, err := askOnce(u.fleet, u.gateway, 1200*time.Millisecond)
	u.fleet.rec.logf("user has an answer on a new connection: status=%d error=%v", status, err)
	if conn == nil {
		return
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	u.answered.Add(1)
	u.mu.Lock()
	u.open[conn] = true
	u.mu.Unlock()
	go u.awaitEnd(conn)
}

// awaitEnd closes the connection when the other end has closed it, or when it has been idle for
// too long.
func (u *users) awaitEnd(conn net.Conn) {
	if !u.stay {
		_ = conn.SetReadDeadline(time.Now().Add(idleLimit))
	}
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.open, conn)
}

func (u *users) openCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}

func (u *users) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.open {
		_ = conn.Close()
	}
}

// askOnce sends a request on a new connection and returns the connection and the answer's status.
func askOnce(f *testFleet, g *gatewayProcess, patience time.Duration) (net.Conn, int, error) {
	conn, err := net.DialTimeout("tcp", g.front(), patience)
	if err != nil {
		return nil, 0, err
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	request := fmt.Sprintf("GET %sheater HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 1200\r\nKey: %s\r\n\r\n", stockPath, f.newID(), stockKey)
	if _, err := io.WriteString(conn, request); err != nil {
		return conn, 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return conn, 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	_ = conn.SetDeadline(time.Time{})
	return conn, resp.StatusCode, err
}

// tryConnections has some clients try new connections. It reports whether none was taken for as
// long as the rule allows, while the machine said that it was ready.
func (f *testFleet) tryConnections(g *gatewayProcess) bool {
	var tried, taken atomic.Int64
	begun := time.Now()
	var wg sync.WaitGroup
	for range tryingClients {
		wg.Go(func() {
			for time.Since(begun) < tryLength {
				tried.Add(1)
				conn, status, err := askOnce(f, g, time.Second)
				f.rec.logf("client tries a new connection: status=%d error=%v", status, err)
				if conn != nil {
					_ = conn.Close()
				}
				if err == nil {
					taken.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	ready := true
	for time.Since(begun) < tryLength {
		ready = g.ready() && ready
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	f.rec.summary("%d clients tried %d new connections at %s in %v: %d were taken; it said that it was ready all the while: %t", tryingClients, tried.Load(), g.name, tryLength, taken.Load(), ready)
	return taken.Load() == 0 && ready && tryLength > f.bounds.stable
}
