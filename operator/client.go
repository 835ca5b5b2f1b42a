package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
)

// clientTimeout bounds one call of the admin API.
const clientTimeout = 30 * time.Second

// Client calls a router's admin API.
type Client struct {
	url   string
	token string
	http  *http.Client
}

// NewClient returns a client of the admin API at url.
func NewClient(url, token string) *Client {
	return &Client{
		url:   strings.TrimSuffix(url, "/"),
		token: token,
		http:  &http.Client{Timeout: clientTimeout},
	}
}

// Config returns the inventory in force and its generation.
func (c *Client) Config(ctx context.Context) (config.Inventory, uint64, error) {
	accept := http.Header{"Accept": {mimeJSON}}
	header, body, err := c.do(ctx, http.MethodGet, "/v1/config", accept, nil)
	if err != nil {
		return config.Inventory{}, 0, err
	}
	inv, err := config.DecodeInventory(body)
	if err != nil {
		return config.Inventory{}, 0, eris.Wrap(ErrInvalid, err.Error())
	}
	generation, err := strconv.ParseUint(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return config.Inventory{}, 0, eris.Wrap(ErrUnavailable, "answer without a generation")
	}
	return inv, generation, nil
}

// Generation returns the generation in force, zero before the first.
func (c *Client) Generation(ctx context.Context) (uint64, error) {
	_, generation, err := c.Config(ctx)
	if eris.Is(err, errNotFound) {
		return 0, nil
	}
	return generation, err
}

// Apply proposes an inventory that was edited from generation base.
func (c *Client) Apply(ctx context.Context, inv config.Inventory, base uint64, dryRun bool) (ChangeResponse, error) {
	encoded, err := config.EncodeInventory(inv)
	if err != nil {
		return ChangeResponse{}, eris.Wrap(ErrInvalid, err.Error())
	}
	path := "/v1/config"
	if dryRun {
		path += "?dry_run=true"
	}
	header := http.Header{
		"If-Match":     {etag(base)},
		"Content-Type": {mimeJSON},
		headerChangeID: {uuid.NewString()},
	}
	_, body, err := c.do(ctx, http.MethodPut, path, header, encoded)
	if err != nil {
		return ChangeResponse{}, err
	}
	var accepted ChangeResponse
	if err := json.Unmarshal(body, &accepted); err != nil {
		return ChangeResponse{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return accepted, nil
}

// Get returns the JSON of a status path, such as "/v1/status".
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	_, body, err := c.do(ctx, http.MethodGet, path, nil, nil)
	return body, err
}

var errNotFound = eris.New("operator: nothing accepted yet")

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, eris.Wrap(ErrInvalid, err.Error())
	}
	for name, values := range header {
		req.Header[http.CanonicalHeaderKey(name)] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, transportError(method, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, transportError(method, err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, answerError(resp.StatusCode, answer)
	}
	return resp.Header, answer, nil
}

// transportError tells a read that failed from a change whose answer was lost.
func transportError(method string, err error) error {
	if method == http.MethodGet {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}

func answerError(status int, body []byte) error {
	text := strings.TrimSpace(string(body))
	var problem ErrorResponse
	if json.Unmarshal(body, &problem) == nil && problem.Error != "" {
		text = problem.Error
	}
	for _, change := range problem.Changes {
		text += "\n  " + string(change.Kind) + " " + string(change.Section) + " " + change.ID
	}
	switch status {
	case http.StatusUnauthorized:
		return eris.Wrap(ErrUnauthorized, text)
	case http.StatusConflict:
		return eris.Wrap(ErrConflict, text)
	case http.StatusNotFound:
		return eris.Wrap(errNotFound, text)
	case http.StatusGatewayTimeout:
		return eris.Wrap(ErrOutcomeUnknown, text)
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return eris.Wrap(ErrUnavailable, text)
	default:
		return eris.Wrap(ErrInvalid, text)
	}
}
