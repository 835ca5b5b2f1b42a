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
	// callTimeout bounds one call of the harness itself.
	callTimeout = 5 * time.Second
	// pollInterval is the period at which a condition is tried.
	pollInterval = 10 * time.Millisecond
	// readyTimeout bounds the wait for one condition.
	readyTimeout = 30 * time.Second
)

// controlClient keeps no connections, so that it leaves no goroutines.
var controlClient = &http.Client{
	Timeout:   callTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Control talks to the control port of one stand-in.
type ControlClient struct {
	url string
}

// NewControl returns a client for the control port at host:port.
func NewControlClient(address string) ControlClient {
	return ControlClient{url: "http://" + address}
}

// URL is where the control port is served.
func (c ControlClient) URL() string { return c.url }

// Set merges switches: a struct, a map or raw JSON.
func (c ControlClient) Set(ctx context.Context, switches any) error {
	return c.call(ctx, http.MethodPost, "/control", switches, nil)
}

// SetVMs sets the platform's true VM list.
func (c ControlClient) SetVMs(ctx context.Context, vms []standin.VM) error {
	return c.call(ctx, http.MethodPost, "/vms", standin.VMListing{VMs: vms}, nil)
}

// Platform returns the counters of a platform.
func (c ControlClient) PlatformCounters(ctx context.Context) (standin.PlatformCounters, error) {
	var state standin.ControlState[standin.PlatformSwitches, standin.PlatformCounters]
	err := c.call(ctx, http.MethodGet, "/control", nil, &state)
	return state.Counters, err
}

// Engine returns the counters of an engine.
func (c ControlClient) EngineCounters(ctx context.Context) (standin.EngineCounters, error) {
	var state standin.ControlState[standin.EngineSwitches, standin.EngineCounters]
	err := c.call(ctx, http.MethodGet, "/control", nil, &state)
	return state.Counters, err
}

// Service returns the counters of a plain service.
func (c ControlClient) ServiceCounters(ctx context.Context) (standin.ServiceCounters, error) {
	var state standin.ControlState[standin.ServiceSwitches, standin.ServiceCounters]
	err := c.call(ctx, http.MethodGet, "/control", nil, &state)
	return state.Counters, err
}

// Runs returns a plain service's runs of each order.
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

// AwaitHTTP waits until GET url answers 200, at most half a minute. It fails
// when ctx ends or the process does; a nil process is not watched.
func AwaitHTTP(ctx context.Context, url string, p *Process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var ended <-chan struct{}
	name := url
	if p != nil {
		ended = p.Done()
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
		case <-ended:
			return eris.Wrapf(ErrNotReady, "%s has ended: %s", name, p.Log())
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
