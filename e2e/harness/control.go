package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	// callTimeout limits one control or readiness request of the harness.
	callTimeout = 5 * time.Second
	// pollInterval is the interval at which a condition is polled.
	pollInterval = 10 * time.Millisecond
	// readyTimeout limits the wait for one condition.
	readyTimeout = 30 * time.Second
)

// controlClient keeps no idle connections, which would leave goroutines that the
// leak checks report.
var controlClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// ControlClient is a client of the control port of one stand-in.
type ControlClient struct {
	url string
}

// NewControlClient returns a client for the control port at address (host:port).
func NewControlClient(address string) ControlClient {
	return ControlClient{url: "http://" + address}
}

// URL returns the base URL of the control port.
func (c ControlClient) URL() string { return c.url }

// Set sets the switches in a struct, a map or raw JSON and keeps the others.
func (c ControlClient) Set(ctx context.Context, switches any) error {
	return c.call(ctx, http.MethodPost, "/control", switches, nil)
}

// SetVMs sets the platform's current VM list.
func (c ControlClient) SetVMs(ctx context.Context, vms []standin.VM) error {
	return c.call(ctx, http.MethodPost, "/vms", standin.VMListing{VMs: vms}, nil)
}

// PlatformCounters returns the counters of a platform.
func (c ControlClient) PlatformCounters(ctx context.Context) (standin.PlatformCounters, error) {
	var state standin.ControlState[standin.PlatformSwitches, standin.PlatformCounters]
	err := c.call(ctx, http.MethodGet, "/control", nil, &state)
	return state.Counters, err
}

// EngineCounters returns the counters of an engine.
func (c ControlClient) EngineCounters(ctx context.Context) (standin.EngineCounters, error) {
	var state standin.ControlState[standin.EngineSwitches, standin.EngineCounters]
	err := c.call(ctx, http.MethodGet, "/control", nil, &state)
	return state.Counters, err
}

// ServiceCounters returns the counters of a plain service.
func (c ControlClient) ServiceCounters(ctx context.Context) (standin.ServiceCounters, error) {
	var state standin.ControlState[standin.ServiceSwitches, standin.ServiceCounters]
	err := c.call(ctx, http.MethodGet, "/control", nil, &state)
	return state.Counters, err
}

// RunCounts returns a plain service's number of runs for each idempotency key.
func (c ControlClient) RunCounts(ctx context.Context) (map[string]int, error) {
	runs := map[string]int{}
	err := c.call(ctx, http.MethodGet, "/counts", nil, &runs)
	return runs, err
}

func (c ControlClient) call(ctx context.Context, method, path string, body, result any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(ErrControl, err.Error())
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, reader)
	if err != nil {
		return eris.Wrap(ErrControl, err.Error())
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return eris.Wrap(ErrControl, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrControl, "%s %s: status %d", method, path, resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		return eris.Wrap(ErrControl, err.Error())
	}
	return nil
}

// AwaitHTTP waits until GET url returns status 200, for at most readyTimeout. It
// fails early if ctx ends or process p exits; p may be nil.
func AwaitHTTP(ctx context.Context, url string, p *Process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var exited <-chan struct{}
	name := url
	if p != nil {
		exited = p.Done()
		name = p.Name()
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if respondsOK(ctx, url) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-exited:
			return eris.Wrapf(ErrNotReady, "%s exited: %s", name, p.Log())
		case <-ctx.Done():
			return eris.Wrapf(ErrNotReady, "%s: GET %s: %s", name, url, ctx.Err())
		}
	}
}

func respondsOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
