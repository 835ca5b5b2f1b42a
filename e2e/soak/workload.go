package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lastAttemptID numbers the requests of all callers.
var lastAttemptID atomic.Int64

// attemptID returns a new identifier. It names the IP address of the gateway that the
// request is sent to, so that upstreams know which gateway a request comes from.
func attemptID(gateway string) string {
	host, _, _ := strings.Cut(gateway, ":")
	return fmt.Sprintf("a%d@%s", lastAttemptID.Add(1), host)
}

// gatewayOf returns the IP address of the gateway that an identifier names.
func gatewayOf(attemptID string) string {
	_, gateway, _ := strings.Cut(attemptID, "@")
	return gateway
}

// Workload is the load of the callers of one team on one route.
type Workload struct {
	Service string
	Team    string
	Key     string
	Path    string
	// Rate is the mean of the requests per second; the intervals between them are
	// exponentially distributed.
	Rate float64
	// Gateways are the addresses that the callers use in turn.
	Gateways []string
	// Objective is the latency objective of the time to the first byte.
	Objective time.Duration
	// Deadline is the time that a caller allows for a request and its retry.
	Deadline time.Duration
	// FirstByteTimeout is how long a caller waits for the first byte.
	FirstByteTimeout time.Duration
	// SharedTokens and UniqueTokens are the sizes of the two parts of a prompt, and
	// OutputTokens is the requested output; all are zero for a plain service.
	SharedTokens int
	UniqueTokens int
	OutputTokens int
	// SharedPrefixes is the number of distinct shared parts.
	SharedPrefixes int
	// CrashPart is a further shared part that crashes engines; empty for none.
	CrashPart string
}

// streamObjective is the latency objective of the time to the first byte of streams.
const streamObjective = 400 * time.Millisecond

// draftWorkload sends the streaming requests of a team through one gateway.
func draftWorkload(env *Environment, team string, rate float64, gateway int) *Workload {
	return &Workload{
		Service: modelService, Team: team, Path: draftPath + "1", Rate: rate, Gateways: env.CallerAddresses(gateway),
		Objective: streamObjective, Deadline: 5 * time.Second, FirstByteTimeout: time.Second,
		SharedTokens: 2000, UniqueTokens: 2000, OutputTokens: 4, SharedPrefixes: 2,
	}
}

// cost returns the cost of a request: an output token counts as two prompt tokens.
func (w *Workload) cost() float64 {
	return float64(w.SharedTokens+w.UniqueTokens) + 2*float64(w.OutputTokens)
}

// run sends requests until ctx ends, and returns once all of them have ended.
func (w *Workload) run(ctx context.Context, seed uint64, recorder *Recorder) {
	random := rand.New(rand.NewPCG(seed, uint64(len(w.Team)+len(w.Path))))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	defer requests.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / w.Rate * float64(time.Second)))
		if !sleep(ctx, time.Until(next)) {
			return
		}
		gateway := w.Gateways[n%len(w.Gateways)]
		prompt := random.IntN(max(w.SharedPrefixes, 1))
		requests.Go(func() { w.send(client, gateway, prompt, recorder) })
	}
}

// send sends a request. A 503 response with Retry-After is retried once, if no more
// than a third of the time to the deadline passes until then.
func (w *Workload) send(client *http.Client, gateway string, prompt int, recorder *Recorder) {
	expires := time.Now().Add(w.Deadline)
	retryAfter, retry := w.attempt(client, gateway, prompt, expires, recorder)
	if !retry || retryAfter > time.Until(expires)/3 {
		return
	}
	sleep(context.Background(), retryAfter)
	w.attempt(client, gateway, prompt, expires, recorder)
}

// attempt sends a request once. It returns the delay of Retry-After, and whether to
// retry.
func (w *Workload) attempt(client *http.Client, gateway string, prompt int, expires time.Time, recorder *Recorder) (time.Duration, bool) {
	sent := Request{
		Service: w.Service, Team: w.Team, AttemptID: attemptID(gateway), SentAt: time.Now(),
		Cost: w.cost(), Objective: w.Objective, Pieces: w.OutputTokens, Patience: min(w.FirstByteTimeout, time.Until(expires)),
	}
	defer func() {
		sent.EndedAt = time.Now()
		recorder.addRequest(sent)
	}()
	ctx, cancel := context.WithDeadline(context.Background(), expires)
	defer cancel()
	firstByteTimer := time.AfterFunc(w.FirstByteTimeout, cancel)
	defer firstByteTimer.Stop()
	req, err := w.newRequest(ctx, gateway, prompt, sent.AttemptID, expires)
	if err != nil {
		return 0, false
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	firstByteTimer.Stop()
	defer func() { _ = resp.Body.Close() }()
	firstByteAt := time.Now()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		sent.Body = body
	}
	if err != nil {
		return 0, false
	}
	sent.Status = resp.StatusCode
	if sent.Status == http.StatusOK {
		sent.FirstByteAt = firstByteAt
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), err == nil && sent.Status == http.StatusServiceUnavailable
}

func (w *Workload) newRequest(ctx context.Context, gateway string, prompt int, attemptID string, expires time.Time) (*http.Request, error) {
	body := bytes.NewReader([]byte("request"))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+w.Path, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not retry the request by itself.
	req.GetBody = nil
	req.Host = siteHost
	req.Header.Set(headerAttemptID, attemptID)
	req.Header.Set("Key", w.Key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(expires).Milliseconds(), 10))
	if w.UniqueTokens > 0 {
		req.Header.Set("Model", "m")
		req.Header.Set(headerTokenCounts, fmt.Sprintf("%d,%d", w.SharedTokens+w.UniqueTokens, w.OutputTokens))
		shared := fmt.Sprintf("%s%d:%d", w.Team, prompt, w.SharedTokens)
		if w.CrashPart != "" {
			shared += fmt.Sprintf(",%s:%d", w.CrashPart, crashPartTokens)
		}
		req.Header.Set(headerPromptPrefix, fmt.Sprintf("%s,%s:%d", shared, attemptID, w.UniqueTokens))
	}
	return req, nil
}
