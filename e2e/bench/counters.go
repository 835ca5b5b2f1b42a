package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// scrapeTimeout bounds the reading of the counters of one process.
const scrapeTimeout = 5 * time.Second

// traffic holds the bytes that a process has sent to others.
type traffic struct {
	control int64
	// controlByKind holds the control bytes by kind of message.
	controlByKind map[string]int64
	crossControl  int64
	crossData     int64
	// crossTotal is all bytes between regions, those of the multiplexer included.
	crossTotal int64
}

// sub returns the traffic since an earlier snapshot.
func (t traffic) sub(other traffic) traffic {
	return t.addScaled(other, -1)
}

func (t traffic) add(other traffic) traffic {
	return t.addScaled(other, 1)
}

func (t traffic) addScaled(other traffic, sign int64) traffic {
	controlByKind := maps.Clone(t.controlByKind)
	if controlByKind == nil {
		controlByKind = map[string]int64{}
	}
	for kind, n := range other.controlByKind {
		controlByKind[kind] += sign * n
	}
	return traffic{
		control:       t.control + sign*other.control,
		controlByKind: controlByKind,
		crossControl:  t.crossControl + sign*other.crossControl,
		crossData:     t.crossData + sign*other.crossData,
		crossTotal:    t.crossTotal + sign*other.crossTotal,
	}
}

// expvars holds the counters of a process that the benchmarks read.
type expvars struct {
	Control map[string]int64 `json:"peer_control_sent_bytes"`
	Conn    map[string]int64 `json:"peer_conn_sent_bytes"`
	Data    map[string]int64 `json:"peer_data_sent_bytes"`
}

func (v expvars) traffic() traffic {
	t := traffic{controlByKind: map[string]int64{}}
	// Keys of control and data have the form kind/from/to.
	for key, n := range v.Control {
		kind, pair, _ := strings.Cut(key, "/")
		t.control += n
		t.controlByKind[kind] += n
		if crossesRegions(pair) {
			t.crossControl += n
		}
	}
	for key, n := range v.Data {
		_, pair, _ := strings.Cut(key, "/")
		if crossesRegions(pair) {
			t.crossData += n
		}
	}
	for pair, n := range v.Conn {
		if crossesRegions(pair) {
			t.crossTotal += n
		}
	}
	return t
}

// crossesRegions reports whether both regions of a key from/to are known and differ.
func crossesRegions(pair string) bool {
	from, to, _ := strings.Cut(pair, "/")
	return from != "" && to != "" && from != to
}

// scrape reads the counters of all running routers and sidecars. A restarted
// process counts as a different one.
func scrape(ctx context.Context, f *harness.Fleet) (map[string]traffic, error) {
	urls := map[string]string{}
	for _, r := range f.Routers {
		if r.Process().Running() {
			urls[processKey(string(r.ID), r.Process())] = r.AdminURL()
		}
	}
	for _, u := range f.Upstreams {
		if u.Sidecar().Running() {
			urls[processKey(string(u.ID), u.Sidecar())] = u.SidecarAdminURL()
		}
	}
	out := map[string]traffic{}
	for id, url := range urls {
		v, err := readExpvars(ctx, url)
		if err != nil {
			return nil, err
		}
		out[id] = v.traffic()
	}
	return out, nil
}

func processKey(id string, p *harness.Process) string {
	return fmt.Sprintf("%s/%d", id, p.PID())
}

func readExpvars(ctx context.Context, url string) (expvars, error) {
	var v expvars
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/debug/vars", nil)
	if err != nil {
		return v, eris.Wrap(ErrRun, err.Error())
	}
	req.Header.Set("Authorization", "Bearer "+harness.AdminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, eris.Wrap(ErrRun, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, eris.Wrapf(ErrRun, "GET %s/debug/vars: status %d", url, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return v, eris.Wrap(ErrRun, err.Error())
	}
	return v, nil
}

// readBusySlotTime returns the total busy slot-time of the given upstreams.
func readBusySlotTime(ctx context.Context, upstreams []*harness.Upstream) (time.Duration, error) {
	values := make([]float64, len(upstreams))
	group, ctx := errgroup.WithContext(ctx)
	for i, u := range upstreams {
		group.Go(func() error {
			counters, err := u.Control.EngineCounters(ctx)
			values[i] = counters.BusySlotMs
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, eris.Wrap(ErrRun, err.Error())
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return time.Duration(sum * float64(time.Millisecond)), nil
}
