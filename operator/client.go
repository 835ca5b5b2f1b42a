package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/httpconn"
)

// clientTimeout is the timeout of one call to the admin API.
const clientTimeout = 30 * time.Second

// maxAnswerBytes limits an answer. The inventory of 30,000 teams with two keys each has 6 MB.
const maxAnswerBytes = 8 << 20

var answers = httpconn.NewBodyReader(maxAnswerBytes)

// Client is a client of a router's admin API.
type Client struct {
	url   string
	token string
	http  *http.Client
}

// NewClient returns a client of the admin API at url that authenticates with token.
func NewClient(url, token string) *Client {
	return &Client{
		url:   strings.TrimSuffix(url, "/"),
		token: token,
		http:  httpconn.NewClient(clientTimeout),
	}
}

// Config returns the inventory in force and its generation.
func (c *Client) Config(ctx context.Context) (config.Inventory, uint64, error) {
	reqHeader := http.Header{"Accept": {mimeJSON}}
	header, body, err := c.do(ctx, http.MethodGet, "/v1/config", reqHeader, nil)
	if err != nil {
		return config.Inventory{}, 0, err
	}
	inv, err := config.DecodeInventory(body)
	if err != nil {
		return config.Inventory{}, 0, eris.Wrap(ErrInvalid, err.Error())
	}
	generation, err := strconv.ParseUint(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return config.Inventory{}, 0, eris.Wrap(ErrUnavailable, "response has no ETag with a generation")
	}
	return inv, generation, nil
}

// Generation returns the generation in force, or zero if no configuration has been
// accepted.
func (c *Client) Generation(ctx context.Context) (uint64, error) {
	_, generation, err := c.Config(ctx)
	if eris.Is(err, errNotFound) {
		return 0, nil
	}
	return generation, err
}

// Apply proposes an inventory that was edited from generation base. A dry run only
// validates it and returns the changes.
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
	var response ChangeResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return ChangeResponse{}, eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return response, nil
}

// Get returns the JSON response of a status path such as "/v1/status".
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	_, body, err := c.do(ctx, http.MethodGet, path, nil, nil)
	return body, err
}

// errNotFound reports that no configuration has been accepted.
var errNotFound = eris.New("operator: no configuration accepted yet")

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
	respBody, err := answers.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, nil, transportError(method, err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, responseError(resp.StatusCode, respBody)
	}
	return resp.Header, respBody, nil
}

// transportError maps an error of the transport to ErrUnavailable for a read. For a
// change it is ErrOutcomeUnknown, because the router may have accepted the change before
// the response was lost.
func transportError(method string, err error) error {
	if method == http.MethodGet {
		return eris.Wrap(ErrUnavailable, err.Error())
	}
	return eris.Wrap(ErrOutcomeUnknown, err.Error())
}

// responseError maps the status and the body of an error response to an error.
func responseError(status int, body []byte) error {
	message := strings.TrimSpace(string(body))
	var response ErrorResponse
	if json.Unmarshal(body, &response) == nil && response.Error != "" {
		message = response.Error
	}
	for _, change := range response.Changes {
		message += "\n  " + string(change.Kind) + " " + string(change.Section) + " " + change.ID
	}
	switch status {
	case http.StatusUnauthorized:
		return eris.Wrap(ErrUnauthorized, message)
	case http.StatusConflict:
		return eris.Wrap(ErrConflict, message)
	case http.StatusNotFound:
		return eris.Wrap(errNotFound, message)
	case http.StatusGatewayTimeout:
		return eris.Wrap(ErrOutcomeUnknown, message)
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return eris.Wrap(ErrUnavailable, message)
	default:
		return eris.Wrap(ErrInvalid, message)
	}
}
