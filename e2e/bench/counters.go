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

// scrapeTimeout bounds the read of one process's counters.
const scrapeTimeout = 5 * time.Second

// traffic are the bytes that one process has sent to others so far.
type traffic struct {
	control int64
	// kinds are the control bytes of each kind of message.
	kinds        map[string]int64
	crossControl int64
	crossData    int64
	// crossAll includes the multiplexer's own bytes.
	crossAll int64
}

// sub returns what was sent since an earlier count.
func (t traffic) sub(o traffic) traffic {
	return t.plus(o, -1)
}

func (t traffic) add(o traffic) traffic {
	return t.plus(o, 1)
}

func (t traffic) plus(o traffic, sign int64) traffic {
	kinds := maps.Clone(t.kinds)
	if kinds == nil {
		kinds = map[string]int64{}
	}
	for kind, n := range o.kinds {
		kinds[kind] += sign * n
	}
	return traffic{
		control:      t.control + sign*o.control,
		kinds:        kinds,
		crossControl: t.crossControl + sign*o.crossControl,
		crossData:    t.crossData + sign*o.crossData,
		crossAll:     t.crossAll + sign*o.crossAll,
	}
}

// vars are the counters of a process that the benchmarks read.
type vars struct {
	Control map[string]int64 `json:"peer_control_sent_bytes"`
	Conn    map[string]int64 `json:"peer_conn_sent_bytes"`
	Data    map[string]int64 `json:"peer_data_sent_bytes"`
}

func (v vars) traffic() traffic {
	t := traffic{kinds: map[string]int64{}}
	// The keys of control and data are kind/from/to.
	for key, n := range v.Control {
		kind, pair, _ := strings.Cut(key, "/")
		t.control += n
		t.kinds[kind] += n
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
			t.crossAll += n
		}
	}
	return t
}

// crossesRegions reports whether both regions of a key from/to are known and
// differ.
func crossesRegions(pair string) bool {
	from, to, _ := strings.Cut(pair, "/")
	return from != "" && to != "" && from != to
}

// scrape reads the counters of every running process of the product. A process
// that was started again counts as another one.
func scrape(ctx context.Context, f *harness.Fleet) (map[string]traffic, error) {
	urls := map[string]string{}
	for _, r := range f.Routers {
		if r.Process().Running() {
			urls[instance(string(r.ID), r.Process())] = r.AdminURL()
		}
	}
	for _, u := range f.Upstreams {
		if u.Sidecar().Running() {
			urls[instance(string(u.ID), u.Sidecar())] = u.SidecarAdminURL()
		}
	}
	out := map[string]traffic{}
	for id, url := range urls {
		v, err := readVars(ctx, url)
		if err != nil {
			return nil, err
		}
		out[id] = v.traffic()
	}
	return out, nil
}

func instance(id string, p *harness.Process) string {
	return fmt.Sprintf("%s/%d", id, p.PID())
}

func readVars(ctx context.Context, url string) (vars, error) {
	var v vars
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

// busy returns the busy slot-time of the given upstreams so far.
func busy(ctx context.Context, upstreams []*harness.Upstream) (time.Duration, error) {
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
