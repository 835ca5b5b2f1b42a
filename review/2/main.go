//go:build review

// Command 2 shows that gateways act on an old configuration when their connections to the
// platform's store have gone silent, though new connections work.
package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/review/lab"
)

const (
	models  = "huvo11a"
	oldDesk = "wuno96b"
	newDesk = "xano55b"
	// lookupsPerSecond is the rate at each gateway.
	lookupsPerSecond = 40
	clients          = 4
	workTime         = 15 * time.Millisecond
	// The operator writes versions 2 and 3 at these times. In between, the connections go
	// silent.
	firstChange  = 5 * time.Second
	silence      = firstChange + 600*time.Millisecond
	secondChange = silence + 200*time.Millisecond
	runTime      = 16 * time.Second
)

// fronts are the gateways of crookneck-bend by zone.
var fronts = []string{"coastal-a", "coastal-a", "valley-a", "valley-a", "hills-a"}

// run is a request that a server ran.
type run struct {
	id      string
	gateway string
	service string
	sent    time.Time
}

type recorder struct {
	mu sync.Mutex
	// services maps a request to the service that ran it.
	services map[string]string
	runs     []run
}

func main() { lab.Main(script) }

func script(l *lab.Lab) (bool, error) {
	store, err := lab.NewStore()
	if err != nil {
		return false, err
	}
	rec := &recorder{services: map[string]string{}}
	if err := startServers(store, rec); err != nil {
		return false, err
	}
	store.Put("config", "main", configuration(1))
	gateways, proxies, err := startGateways(l, store)
	if err != nil {
		return false, err
	}
	started := time.Now()
	var wg sync.WaitGroup
	for _, g := range gateways {
		for range clients {
			wg.Go(func() { lookUp(l, rec, g, started) })
		}
	}
	time.Sleep(time.Until(started.Add(firstChange)))
	store.Put("config", "main", configuration(2))
	l.Logf("store acknowledged version 2")
	time.Sleep(time.Until(started.Add(silence)))
	silent := time.Now()
	if l.Trouble {
		for i, p := range proxies {
			l.Logf("%d connections of %s to the store go silent", p.Silence(), gateways[i].Name)
		}
	}
	time.Sleep(time.Until(started.Add(secondChange)))
	store.Put("config", "main", configuration(3))
	acknowledged := time.Now()
	l.Logf("store acknowledged version 3: lookups go to %s", newDesk)
	wg.Wait()
	return rec.judge(l, silent, acknowledged), nil
}

// configuration returns a version. Version 2 changes a timeout, and version 3 moves the
// lookups to another service.
func configuration(version int) any {
	lookup := lab.OrderLookup(oldDesk)
	if version > 1 {
		lookup.TimeoutMs = 900
	}
	if version > 2 {
		lookup.Service = newDesk
	}
	return lab.Config(version, models, []string{oldDesk, newDesk}, lookup)
}

func startServers(store *lab.Store, rec *recorder) error {
	for _, service := range []string{oldDesk, newDesk} {
		for _, zone := range []string{"coastal-a", "valley-a", "hills-a"} {
			s, err := lab.NewServer(service, zone, 6)
			if err != nil {
				return err
			}
			s.Handle = func(c *lab.ServerConn, r *http.Request, _ []byte) bool {
				rec.ran(r.Header.Get("Attempt-Id"), service)
				time.Sleep(workTime)
				_, err := c.Write(c.WholeAnswer(r, http.StatusOK, "status from "+service))
				return err == nil
			}
			s.Serve()
			store.Register(s)
		}
	}
	return nil
}

// startGateways starts the gateways, each behind a proxy of its own to the store.
func startGateways(l *lab.Lab, store *lab.Store) ([]*lab.Gateway, []*lab.Proxy, error) {
	var gateways []*lab.Gateway
	var proxies []*lab.Proxy
	for i, zone := range fronts {
		p, err := lab.NewProxy(store.Address)
		if err != nil {
			return nil, nil, err
		}
		g, err := lab.NewGateway("front-"+zone+"-"+string(rune('1'+i)), zone, p.Address)
		if err != nil {
			return nil, nil, err
		}
		gateways, proxies = append(gateways, g), append(proxies, p)
	}
	for _, g := range gateways {
		if err := l.StartGateway(g, gateways[0], gateways[2], gateways[4]); err != nil {
			return nil, nil, err
		}
	}
	for _, g := range gateways {
		if !lab.Await(10*time.Second, g.IsReady) {
			return nil, nil, errors.New("a gateway is not ready")
		}
	}
	return gateways, proxies, nil
}

// lookUp sends lookups to a gateway over a kept connection.
func lookUp(l *lab.Lab, rec *recorder, g *lab.Gateway, started time.Time) {
	client := lab.NewClient(g.Front)
	defer client.Close()
	for time.Since(started) < runTime {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * clients / lookupsPerSecond))
		r := lab.Request{ID: lab.NewID(), Method: http.MethodGet, Path: "/cufi504/fi50/2f", Key: lab.Key, Deadline: 2 * time.Second}
		a := client.Do(r)
		service := rec.answered(r.ID, g.Name, a.Sent)
		l.Logf("client sent %s to %s at %s, got %d %q (%v), run by %s", r.ID, g.Name, a.Sent.Format("05.000"), a.Status, a.Body, a.Err, service)
	}
}

func (rec *recorder) ran(id, service string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.services[id] = service
}

func (rec *recorder) answered(id, gateway string, sent time.Time) string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	service := rec.services[id]
	if service != "" {
		rec.runs = append(rec.runs, run{id, gateway, service, sent})
	}
	return service
}

// judge checks the rule CONFIG: no request that was sent later than configApplyMs after the
// acknowledgement is run by the old service, at machines in touch. These are in touch again
// stableWindowMs after their connections went silent.
func (rec *recorder) judge(l *lab.Lab, silent, acknowledged time.Time) bool {
	bound := acknowledged.Add(lab.ConfigApply)
	if inTouch := silent.Add(lab.StableWindow); l.Trouble && inTouch.After(bound) {
		bound = inTouch
	}
	late := 0
	last := map[string]time.Time{}
	for _, r := range rec.runs {
		if r.service != oldDesk {
			continue
		}
		if r.sent.After(last[r.gateway]) {
			last[r.gateway] = r.sent
		}
		if r.sent.After(bound) {
			late++
		}
	}
	for gateway, sent := range last {
		l.Reportf("%s: the last request that the old service ran was sent %.3f s after the acknowledgement", gateway, sent.Sub(acknowledged).Seconds())
	}
	l.Reportf("CONFIG: %d of %d requests were sent later than %.3f s after the acknowledgement, at machines in touch, and run by the old service",
		late, len(rec.runs), bound.Sub(acknowledged).Seconds())
	return late > 0
}
