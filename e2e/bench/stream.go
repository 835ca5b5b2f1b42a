package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// ErrResponse reports a response with an error status, or one that is incomplete.
var ErrResponse = eris.New("bench: no complete response")

var (
	tokenMarker = []byte(`"finish_reason":null`)
	doneMarker  = []byte("[DONE]")
)

// streamRequest is a request for one streamed completion.
type streamRequest struct {
	url  string
	key  string
	body standin.CompletionRequest
	// onToken is called for each token of the response as it arrives.
	onToken func()
}

// send sends the request and reads the whole response.
func (r streamRequest) send(ctx context.Context, client *http.Client) error {
	data, err := json.Marshal(r.body)
	if err != nil {
		return eris.Wrap(ErrResponse, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(ErrResponse, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Wrap(ErrResponse, fmt.Sprintf("status %d", resp.StatusCode))
	}
	return r.readResponse(resp)
}

func (r streamRequest) readResponse(resp *http.Response) error {
	scanner := bufio.NewScanner(resp.Body)
	complete := false
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.Contains(line, tokenMarker) {
			r.onToken()
		}
		complete = complete || bytes.Contains(line, doneMarker)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if !complete {
		return eris.Wrap(ErrResponse, "stream ended before [DONE]")
	}
	return nil
}

// newHTTPClient returns a client that keeps an idle connection for each caller.
func newHTTPClient(callers int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: callers,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}
