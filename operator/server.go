package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
)

// Limits of the admin API.
const (
	maxInventoryBytes = 16 << 20
	readTimeout       = 30 * time.Second
	headerTimeout     = 5 * time.Second
)

// operatorContextKey is the key of the operator's name in an echo context.
const operatorContextKey = "operator"

// Options configures the admin API server.
type Options struct {
	Tokens    []config.AdminToken
	Publisher Publisher
	Reporter  Reporter
	Log       *zap.Logger
}

type server struct{ opts Options }

// NewHTTPServer returns the HTTP server of the admin API. All paths except /healthz and
// /readyz require an admin token.
func NewHTTPServer(opts Options) *http.Server {
	s := &server{opts: opts}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.GET("/healthz", s.handleLiveness)
	e.GET("/readyz", s.handleReadiness)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()), s.authenticate)
	v1 := e.Group("/v1", s.authenticate)
	v1.GET("/config", s.getConfig)
	v1.PUT("/config", s.putConfig)
	v1.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, opts.Reporter.Status()) })
	v1.GET("/upstreams", func(c echo.Context) error { return c.JSON(http.StatusOK, opts.Reporter.Upstreams()) })
	v1.GET("/teams", func(c echo.Context) error { return c.JSON(http.StatusOK, opts.Reporter.Teams()) })
	v1.GET("/suspects", func(c echo.Context) error { return c.JSON(http.StatusOK, opts.Reporter.Suspects()) })
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		ErrorLog:          zap.NewStdLog(opts.Log),
	}
}

func (s *server) handleLiveness(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (s *server) handleReadiness(c echo.Context) error {
	if !s.opts.Reporter.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

func (s *server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		name, ok := s.operatorName(token)
		if !ok {
			return ErrUnauthorized
		}
		c.Set(operatorContextKey, name)
		return next(c)
	}
}

// operatorName returns the name of the operator that a token belongs to. It compares the
// token's hash with all configured hashes in constant time, so that the duration reveals
// nothing about them.
func (s *server) operatorName(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	name := ""
	found := false
	for _, t := range s.opts.Tokens {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(t.Hash)), []byte(digest)) == 1 {
			name = t.Name
			found = true
		}
	}
	return name, found
}

func etag(generation uint64) string { return `"` + strconv.FormatUint(generation, 10) + `"` }

func (s *server) getConfig(c echo.Context) error {
	head, inv, err := s.opts.Publisher.Current(c.Request().Context())
	if err != nil {
		return err
	}
	format, contentType := config.FormatInventory, mimeYAML
	if strings.HasPrefix(c.Request().Header.Get("Accept"), mimeJSON) {
		format, contentType = config.EncodeInventory, mimeJSON
	}
	body, err := format(inv)
	if err != nil {
		return errors.Join(ErrInvalid, err)
	}
	c.Response().Header().Set("ETag", etag(head.Generation))
	return c.Blob(http.StatusOK, contentType, body)
}

// Media types of an inventory. JSON is far cheaper for a router to parse than YAML.
const (
	mimeYAML = "application/yaml"
	mimeJSON = "application/json"
)

func (s *server) putConfig(c echo.Context) error {
	proposal, err := s.parseProposal(c)
	if err != nil {
		return err
	}
	ctx := c.Request().Context()
	if c.QueryParam("dry_run") == "true" {
		changes, err := s.opts.Publisher.DryRun(ctx, proposal)
		if err != nil {
			return err
		}
		return c.JSON(http.StatusOK, ChangeResponse{Generation: proposal.Base, Changes: changes})
	}
	head, err := s.opts.Publisher.Apply(ctx, proposal)
	if err != nil {
		return err
	}
	s.opts.Log.Info("configuration accepted", zap.Uint64("generation", head.Generation),
		zap.String("author", proposal.Author), zap.String("change_id", head.ChangeID))
	c.Response().Header().Set("ETag", etag(head.Generation))
	return c.JSON(http.StatusOK, ChangeResponse{Generation: head.Generation, ChangeID: head.ChangeID})
}

// parseProposal parses the request to change the configuration. If-Match holds the
// generation that the inventory was edited from, or "0" if there was none.
func (s *server) parseProposal(c echo.Context) (config.Proposal, error) {
	match := strings.Trim(c.Request().Header.Get("If-Match"), `"`)
	base, err := strconv.ParseUint(match, 10, 64)
	if err != nil {
		return config.Proposal{}, echo.NewHTTPError(http.StatusPreconditionRequired,
			"If-Match must hold the generation that the change was edited from")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxInventoryBytes))
	if err != nil {
		return config.Proposal{}, errors.Join(config.ErrTooLarge, err)
	}
	parse := config.ParseInventory
	if strings.HasPrefix(c.Request().Header.Get("Content-Type"), mimeJSON) {
		parse = config.DecodeInventory
	}
	inv, err := parse(body)
	if err != nil {
		return config.Proposal{}, err
	}
	author, _ := c.Get(operatorContextKey).(string)
	return config.Proposal{
		Inventory: inv,
		Base:      base,
		Author:    author,
		ChangeID:  c.Request().Header.Get(headerChangeID),
	}, nil
}

// headerChangeID is the header with the identifier of a change, which makes a retried
// request idempotent.
const headerChangeID = "Change-Id"

func (s *server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, response := errorResponse(err)
	if status >= http.StatusInternalServerError {
		s.opts.Log.Warn("admin call failed", zap.String("path", c.Path()), zap.Error(err))
	}
	if err := c.JSON(status, response); err != nil {
		s.opts.Log.Debug("error response not written", zap.Error(err))
	}
}

// errorResponse maps an error to the status and the body of the response.
func errorResponse(err error) (int, ErrorResponse) {
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		return http.StatusConflict, ErrorResponse{Error: conflict.Error(), Generation: conflict.Current, Changes: conflict.Changes}
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		return httpErr.Code, ErrorResponse{Error: httpErrorMessage(httpErr)}
	}
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, ErrUnauthorized):
		status = http.StatusUnauthorized
	case errors.Is(err, config.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, config.ErrInvalid), errors.Is(err, ErrInvalid):
		status = http.StatusBadRequest
	case errors.Is(err, config.ErrNoConfiguration):
		status = http.StatusNotFound
	case errors.Is(err, config.ErrNotAccepted):
		status = http.StatusServiceUnavailable
	case errors.Is(err, config.ErrOutcomeUnknown):
		status = http.StatusGatewayTimeout
	}
	return status, ErrorResponse{Error: err.Error()}
}

func httpErrorMessage(err *echo.HTTPError) string {
	if message, ok := err.Message.(string); ok {
		return message
	}
	return http.StatusText(err.Code)
}
