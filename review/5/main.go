//go:build review

// Command 5 shows that gateways send requests to a server whose entry was removed, for
// seconds after their connections to the platform's store went silent and came back.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/review/lab"
)

const (
	models = "huvo11a"
	desk   = "wuno96b"
	// leavingZone is the zone of the server that leaves.
	leavingZone = "coastal-a"
	// lookupsPerSecond is the rate at each gateway.
	lookupsPerSecond = 40
	clients          = 4
	workTime         = 15 * time.Millisecond
	// The connections go silent, and then the entry of a server is removed. The server goes on
	// serving until the end of the run.
	silence = 5 * time.Second
	leaving = silence + 200*time.Millisecond
	runTime = 18 * time.Second
)

// fronts are the gateways of crookneck-bend by zone.
var fronts = []string{"coastal-a", "coastal-a", "valley-a", "valley-a", "hills-a"}

// visit is a request that reached the leaving server.
type visit struct {
	id string
	at time.Time
}

type recorder struct {
	mu     sync.Mutex
	visits []visit
	// sent maps a request to when its client sent it, and gateways to where.
	sent     map[string]time.Time
	gateways map[string]string
}

func main() { lab.Main(script) }

func script(l *lab.Lab) (bool, error) {
	store, err := lab.NewStore()
	if err != nil {
		return false, err
	}
	rec := &recorder{sent: map[string]time.Time{}, gateways: map[string]string{}}
	leaver, err := startServers(l, store, rec)
	if err != nil {
		return false, err
	}
	store.Put("config", "main", lab.Config(1, models, []string{desk}, lab.OrderLookup(desk)))
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
	time.Sleep(time.Until(started.Add(silence)))
	silent := time.Now()
	if l.Trouble {
		for i, p := range proxies {
			l.Logf("%d connections of %s to the store go silent", p.Silence(), gateways[i].Name)
		}
	}
	time.Sleep(time.Until(started.Add(leaving)))
	store.Delete("servers", leaver.ID)
	acknowledged := time.Now()
	l.Logf("store acknowledged that the entry of %s is removed", leaver.ID)
	wg.Wait()
	return rec.judge(l, silent, acknowledged), nil
}

// startServers starts a desk server in each zone and returns the one that will leave.
func startServers(l *lab.Lab, store *lab.Store, rec *recorder) (*lab.Server, error) {
	var leaver *lab.Server
	for _, zone := range []string{"coastal-a", "valley-a", "hills-a"} {
		s, err := lab.NewServer(desk, zone, 6)
		if err != nil {
			return nil, err
		}
		if zone == leavingZone {
			leaver = s
		}
		s.Handle = func(c *lab.ServerConn, r *http.Request, _ []byte) bool {
			id := r.Header.Get("Attempt-Id")
			l.Logf("%s reaches %s", id, c.Server.ID)
			if zone == leavingZone && id != "" {
				rec.reached(id)
			}
			time.Sleep(workTime)
			_, err := c.Write(c.WholeAnswer(r, http.StatusOK, "status"))
			return err == nil
		}
		s.Serve()
		store.Register(s)
	}
	return leaver, nil
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
		g, err := lab.NewGateway(fmt.Sprintf("front-%s-%d", zone, i+1), zone, p.Address)
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
		l.Logf("client sent %s to %s at %s, got %d (%v)", r.ID, g.Name, a.Sent.Format("05.000"), a.Status, a.Err)
		rec.mu.Lock()
		rec.sent[r.ID], rec.gateways[r.ID] = a.Sent, g.Name
		rec.mu.Unlock()
	}
}

func (rec *recorder) reached(id string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.visits = append(rec.visits, visit{id, time.Now()})
}

// judge checks the rule DRAIN: no request that machines in touch took from a client and sent
// on reaches the server later than drainMs after the acknowledgement. The machines are in
// touch again stableWindowMs after their connections went silent.
func (rec *recorder) judge(l *lab.Lab, silent, acknowledged time.Time) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	bound := acknowledged.Add(lab.Drain)
	inTouch := acknowledged
	if l.Trouble {
		inTouch = silent.Add(lab.StableWindow)
	}
	late := 0
	last := map[string]time.Time{}
	for _, v := range rec.visits {
		if v.at.After(last[rec.gateways[v.id]]) {
			last[rec.gateways[v.id]] = v.at
		}
		if v.at.After(bound) && rec.sent[v.id].After(inTouch) {
			late++
		}
	}
	for gateway, at := range last {
		l.Reportf("%s: its last request reached the server %.3f s after the acknowledgement", gateway, at.Sub(acknowledged).Seconds())
	}
	l.Reportf("DRAIN: %d requests that machines in touch took from clients reached the server later than %.1f s after the acknowledgement",
		late, lab.Drain.Seconds())
	return late > 0
}
