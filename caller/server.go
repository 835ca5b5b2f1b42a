package caller

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// bodyTimeout bounds how long a caller may take to send its body.
const bodyTimeout = 30 * time.Second

// Options configures a Server.
type Options struct {
	Limits config.HTTPLimits
	Log    *zap.Logger
	// Index returns the configuration in force, or nil before the first.
	Index   func() *config.Index
	Backend Backend
}

// Server is the callers' HTTP interface.
type Server struct {
	opts Options
	echo *echo.Echo
}

// NewServer returns the callers' interface.
func NewServer(opts Options) *Server {
	s := &Server{opts: opts, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.POST("/v1/chat/completions", s.completion)
	s.echo.POST("/v1/completions", s.completion)
	s.echo.Any("/services/:service", s.plain)
	s.echo.Any("/services/:service/*", s.plain)
	return s
}

// HTTPServer returns a server with the limits of the options.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: s.opts.Limits.HeaderTimeout.Std(),
		MaxHeaderBytes:    s.opts.Limits.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.opts.Log),
	}
}

func (s *Server) completion(c echo.Context) error {
	index, team, err := s.authenticate(c)
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	completion, err := parseCompletion(body)
	if err != nil {
		return err
	}
	req := &Request{
		Service:     fleet.ServiceID(completion.Model),
		Team:        team,
		Method:      c.Request().Method,
		Path:        c.Request().URL.RequestURI(),
		Body:        body,
		AffinityKey: completion.affinityKey(),
	}
	return s.serve(c, index, req, config.KindModel, c.Request().URL.Path)
}

func (s *Server) plain(c echo.Context) error {
	index, team, err := s.authenticate(c)
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	service := c.Param("service")
	req := &Request{
		Service: fleet.ServiceID(service),
		Team:    team,
		Method:  c.Request().Method,
		Path:    upstreamPath(c.Request().URL.RequestURI(), service),
		Body:    body,
	}
	return s.serve(c, index, req, config.KindPlain, upstreamPath(c.Request().URL.Path, service))
}

// upstreamPath strips the /services/{service} prefix of a request URI or a
// decoded path.
func upstreamPath(uri, service string) string {
	path := strings.TrimPrefix(uri, "/services/"+service)
	if !strings.HasPrefix(path, "/") {
		return "/" + path
	}
	return path
}

// serve runs a request. The rules of the configuration apply to its decoded
// path at the upstream.
func (s *Server) serve(c echo.Context, index *config.Index, req *Request, kind config.ServiceKind, decoded string) error {
	if err := s.complete(c, index, req, kind); err != nil {
		return err
	}
	req.NonIdempotent = index.NonIdempotent(req.Service, req.Method, decoded)
	key, err := idempotencyKey(c.Request().Header, req.NonIdempotent)
	if err != nil {
		return err
	}
	req.IdempotencyKey = key
	ctx := telemetry.WithTraceparent(c.Request().Context(), c.Request().Header.Get("traceparent"))
	ctx, span := telemetry.StartSpan(ctx, "router.receive",
		attribute.String("team", string(req.Team)), attribute.String("service", string(req.Service)))
	defer span.End()
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	w := newResponder(c.Response())
	if err := s.opts.Backend.Serve(ctx, req, w); err != nil {
		return s.fail(c, w, err)
	}
	return w.finish()
}

// fail turns a backend's error into a refusal, or breaks the answer off when
// part of it was sent: a caller must never take it for whole.
func (s *Server) fail(c echo.Context, w *responder, err error) error {
	if !w.Started() {
		return err
	}
	s.opts.Log.Info("answer broken off", zap.Error(err))
	if !c.Request().ProtoAtLeast(1, 1) {
		s.reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection by RST: the end of an HTTP/1.0 answer of no
// stated length is the end of the connection.
func (s *Server) reset(w *responder) {
	conn, _, err := http.NewResponseController(w.w).Hijack()
	if err != nil {
		s.opts.Log.Warn("connection not reset", zap.Error(err))
		return
	}
	defer conn.Close()
	raw := conn
	if secure, ok := conn.(*tls.Conn); ok {
		raw = secure.NetConn()
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// complete fills in what the configuration and the headers say.
func (s *Server) complete(c echo.Context, index *config.Index, req *Request, kind config.ServiceKind) error {
	service, ok := index.Service(req.Service)
	if !ok || service.Kind != kind {
		return NotRun(http.StatusNotFound, "unknown_service", "no such service: "+strconv.Quote(string(req.Service)))
	}
	if int64(len(req.Body)) > service.MaxBodyBytes {
		return tooLarge(service.MaxBodyBytes)
	}
	req.MaxWait = service.MaxDuration.Std()
	req.Header = exchange.EndToEnd(c.Request().Header, hopHeaders)
	req.Digest = digest(req)
	timeout, err := requestTimeout(c.Request().Header)
	if err != nil {
		return err
	}
	if timeout > 0 {
		req.Deadline = time.Now().Add(timeout)
	}
	return nil
}

func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := asRefusal(err)
	if refusal.RetryAfter > 0 {
		c.Response().Header().Set(HeaderRetryAfter, retryAfterSeconds(refusal.RetryAfter))
	}
	c.Response().Header().Set(HeaderOutcome, string(refusal.Outcome))
	body := errorBody{Error: errorDetail{Code: refusal.Code, Message: refusal.Message}}
	if err := c.JSON(refusal.Status, body); err != nil {
		s.opts.Log.Debug("refusal not delivered", zap.Error(err))
	}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// asRefusal maps any error of a handler to what the caller is told. An error
// that says nothing of the request's fate leaves it unknown.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		return NotRun(httpErr.Code, "invalid_request", http.StatusText(httpErr.Code))
	}
	return Unknown(http.StatusBadGateway, "internal", "the request's outcome is unknown")
}

func retryAfterSeconds(d time.Duration) string {
	seconds := (d + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}
