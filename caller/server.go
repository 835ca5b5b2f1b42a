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

// bodyReadTimeout bounds the time in which a caller has to send the request body.
const bodyReadTimeout = 30 * time.Second

// Options configures a Server.
type Options struct {
	Limits config.HTTPLimits
	Log    *zap.Logger
	// Index returns the configuration in force, or nil if there is none yet.
	Index   func() *config.Index
	Backend Backend
}

// Server serves the HTTP interface for callers.
type Server struct {
	opts Options
	echo *echo.Echo
}

// NewServer returns a Server. HTTPServer returns it as an http.Server.
func NewServer(opts Options) *Server {
	s := &Server{opts: opts, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.POST("/v1/chat/completions", s.handleCompletion)
	s.echo.POST("/v1/completions", s.handleCompletion)
	s.echo.Any("/services/:service", s.handlePlain)
	s.echo.Any("/services/:service/*", s.handlePlain)
	return s
}

// HTTPServer returns an http.Server that applies the limits of the options.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.echo,
		ReadHeaderTimeout: s.opts.Limits.HeaderTimeout.Std(),
		MaxHeaderBytes:    s.opts.Limits.MaxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.opts.Log),
	}
}

func (s *Server) handleCompletion(c echo.Context) error {
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

func (s *Server) handlePlain(c echo.Context) error {
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
func upstreamPath(path, service string) string {
	trimmed := strings.TrimPrefix(path, "/services/"+service)
	if !strings.HasPrefix(trimmed, "/") {
		return "/" + trimmed
	}
	return trimmed
}

// serve prepares a request and passes it to the backend. The decoded path at the
// upstream is the one that the rules of the configuration are matched against.
func (s *Server) serve(c echo.Context, index *config.Index, req *Request, kind config.ServiceKind, decodedPath string) error {
	if err := s.prepare(c, index, req, kind); err != nil {
		return err
	}
	req.NonIdempotent = index.NonIdempotent(req.Service, req.Method, decodedPath)
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
		return s.handleBackendError(c, w, err)
	}
	return w.finish()
}

// handleBackendError returns the backend's error if the response has not started.
// Otherwise it aborts the connection, so that the caller cannot take the partial
// response for a complete one.
func (s *Server) handleBackendError(c echo.Context, w *responder, err error) error {
	if !w.Started() {
		return err
	}
	s.opts.Log.Info("answer broken off", zap.Error(err))
	if !c.Request().ProtoAtLeast(1, 1) {
		s.resetConnection(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection by a TCP reset. An HTTP/1.0 response without
// Content-Length ends with the connection, so that the caller would take a regular
// close for the end of a complete response.
func (s *Server) resetConnection(w *responder) {
	conn, _, err := http.NewResponseController(w.w).Hijack()
	if err != nil {
		s.opts.Log.Warn("connection not reset", zap.Error(err))
		return
	}
	defer conn.Close()
	rawConn := conn
	if tlsConn, ok := conn.(*tls.Conn); ok {
		rawConn = tlsConn.NetConn()
	}
	if tcpConn, ok := rawConn.(*net.TCPConn); ok {
		_ = tcpConn.SetLinger(0)
	}
}

// prepare sets the fields of the request that follow from the configuration and the
// headers, and checks the limits of the service.
func (s *Server) prepare(c echo.Context, index *config.Index, req *Request, kind config.ServiceKind) error {
	service, ok := index.Service(req.Service)
	if !ok || service.Kind != kind {
		return NotRun(http.StatusNotFound, "unknown_service", "no such service: "+strconv.Quote(string(req.Service)))
	}
	if int64(len(req.Body)) > service.MaxBodyBytes {
		return bodyTooLarge(service.MaxBodyBytes)
	}
	req.MaxWait = service.MaxDuration.Std()
	req.Header = exchange.EndToEnd(c.Request().Header, unforwardedHeaders)
	if err := checkText(req); err != nil {
		return err
	}
	req.Digest = requestDigest(req)
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
		s.opts.Log.Debug("sending a refusal failed", zap.Error(err))
	}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// asRefusal converts an error of a handler into the refusal that is sent to the
// caller. An error of an unexpected type becomes an unknown outcome, since the
// request may have run.
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
