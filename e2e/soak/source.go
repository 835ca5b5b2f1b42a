package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// attempts numbers the requests of all callers.
var attempts atomic.Int64

// Source is the callers of one team and kind of request.
type Source struct {
	Service string
	Team    string
	Key     string
	Path    string
	// Rate is the requests a second; they come at random moments.
	Rate float64
	// Gateways are the addresses that the callers use by turns.
	Gateways  []string
	Objective time.Duration
	Deadline  time.Duration
	// Patience is how long a caller waits for the first byte.
	Patience time.Duration
	// Shared and Own are the tokens of a prompt's parts, and Output those to be
	// generated; all zero for plain services.
	Shared int
	Own    int
	Output int
	// Prompts is how many shared parts the team has.
	Prompts int
}

// tokens is what a request counts for.
func (s *Source) tokens() float64 { return float64(s.Shared+s.Own) + 2*float64(s.Output) }

// run sends requests until ctx ends, and returns when all have ended.
func (s *Source) run(ctx context.Context, seed uint64, record *Record) {
	random := rand.New(rand.NewPCG(seed, uint64(len(s.Team)+len(s.Path))))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	var calls sync.WaitGroup
	defer calls.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		if !wait(ctx, time.Until(next)) {
			return
		}
		gateway := s.Gateways[n%len(s.Gateways)]
		prompt := random.IntN(max(s.Prompts, 1))
		calls.Go(func() { s.request(client, gateway, prompt, record) })
	}
}

// request sends a request, and once more if it is told when to come back.
func (s *Source) request(client *http.Client, gateway string, prompt int, record *Record) {
	expires := time.Now().Add(s.Deadline)
	retryAfter, again := s.attempt(client, gateway, prompt, expires, record)
	if !again || retryAfter > time.Until(expires)/3 {
		return
	}
	wait(context.Background(), retryAfter)
	s.attempt(client, gateway, prompt, expires, record)
}

// attempt returns when to come back, if it is told so.
func (s *Source) attempt(client *http.Client, gateway string, prompt int, expires time.Time, record *Record) (time.Duration, bool) {
	ask := Ask{
		Service: s.Service, Team: s.Team, Attempt: fmt.Sprintf("a%d", attempts.Add(1)), At: time.Now(),
		Tokens: s.tokens(), Objective: s.Objective,
	}
	defer func() {
		ask.Ended = time.Now()
		record.ask(ask)
	}()
	ctx, cancel := context.WithDeadline(context.Background(), expires)
	defer cancel()
	impatient := time.AfterFunc(s.Patience, cancel)
	defer impatient.Stop()
	req, err := s.message(ctx, gateway, prompt, ask.Attempt, expires)
	if err != nil {
		return 0, false
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	impatient.Stop()
	defer func() { _ = resp.Body.Close() }()
	first := time.Now()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	ask.Status = resp.StatusCode
	if ask.Status == http.StatusOK {
		ask.FirstByte = first
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), err == nil && ask.Status == http.StatusServiceUnavailable
}

func (s *Source) message(ctx context.Context, gateway string, prompt int, attempt string, expires time.Time) (*http.Request, error) {
	body := bytes.NewReader([]byte("request"))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+s.Path, body)
	if err != nil {
		return nil, err
	}
	// A request without a way to send its body again is never repeated by the client.
	req.GetBody = nil
	req.Host = siteHost
	req.Header.Set(headerAttempt, attempt)
	req.Header.Set("Key", s.Key)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(time.Until(expires).Milliseconds(), 10))
	if s.Own > 0 {
		req.Header.Set("Model", "m")
		req.Header.Set(headerTokens, fmt.Sprintf("%d,%d", s.Shared+s.Own, s.Output))
		req.Header.Set(headerPrompt, fmt.Sprintf("%s%d:%d,%s:%d", s.Team, prompt, s.Shared, attempt, s.Own))
	}
	return req, nil
}
