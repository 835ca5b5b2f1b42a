package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/node"
)

const (
	// abortMargin is how long before the end of the grace period remaining requests are
	// cut off, so that callers see this process close their connections rather than its
	// exit.
	abortMargin = 300 * time.Millisecond
	// shutdownPollInterval is the polling interval of the conditions that end each
	// phase of a shutdown.
	shutdownPollInterval = 20 * time.Millisecond
	// adminHeaderTimeout limits reading the request headers on the ready and metrics
	// addresses.
	adminHeaderTimeout = 2 * time.Second
)

// Listeners are the listening sockets of a gateway.
type Listeners struct {
	Caller net.Listener
	Ready  net.Listener
	Peer   net.Listener
	// Metrics may be nil.
	Metrics net.Listener
}

// Run serves until ctx is canceled, then shuts down gracefully within Options.Grace.
func (g *Gateway) Run(ctx context.Context, listeners Listeners) error {
	g.start(listeners.Peer)
	callers := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.options.HeaderTimeout,
		IdleTimeout:       g.options.IdleTimeout,
		MaxHeaderBytes:    g.options.MaxHeaderBytes,
		ConnContext:       withCallerConn,
		ErrorLog:          zap.NewStdLog(g.log.Named("http")),
	}
	ready := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: adminHeaderTimeout}
	defer ready.Close()
	metrics := &http.Server{Handler: g.metrics(), ReadHeaderTimeout: adminHeaderTimeout}
	defer metrics.Close()
	failed := make(chan error, 4)
	if listeners.Metrics != nil {
		go func() { failed <- metrics.Serve(listeners.Metrics) }()
	}
	go func() { failed <- ready.Serve(listeners.Ready) }()
	accepting, err := newReopenListener(listeners.Caller, g.options.Processors)
	if err != nil {
		return err
	}
	limited := newCallerListener(accepting, g.options.MaxConnections, g.readiness.observe)
	go func() { failed <- callers.Serve(limited) }()
	go func() {
		if err := g.readiness.run(ctx, limited, accepting.resetPending); err != nil {
			failed <- err
		}
	}()
	g.log.Info("gateway started", zap.Stringer("caller", listeners.Caller.Addr()))
	select {
	case <-ctx.Done():
		g.stop(callers, limited)
		return nil
	case err := <-failed:
		return eris.Wrap(ErrListen, err.Error())
	}
}

// serveUntilReplaced keeps serving new requests while no other router accepts callers
// and earlier requests keep this process running anyway. Requests that may not finish
// before end are refused meanwhile.
func (g *Gateway) serveUntilReplaced(end time.Time) {
	g.servingDuringShutdown.Store(true)
	began := time.Now()
	for g.inFlight.Load() > 0 && !g.peers.othersServing() && time.Now().Before(end) {
		node.Pause(context.Background(), shutdownPollInterval)
	}
	g.log.Info("gateway closes to callers", zap.Duration("covered", time.Since(began)), zap.Int("routers", g.routerCount()))
}

// waitUntilRead waits until no connection has unread data, but not beyond end.
// http.Server.Shutdown treats a connection whose request it has not read as idle and
// closes it; a process that is short of CPU time has such connections.
func waitUntilRead(connections *callerListener, end time.Time) {
	for connections.unreadCount() > 0 && time.Now().Before(end) {
		node.Pause(context.Background(), shutdownPollInterval)
	}
}

// refuseDuringShutdown refuses a request that may not finish before the process exits;
// nil if the request may run.
func (g *Gateway) refuseDuringShutdown(j *job) *refusal {
	end := g.shutdownAt.Load()
	if !g.servingDuringShutdown.Load() || j.expires.Before(*end) {
		return nil
	}
	return notRun("stopping", "this router is stopping", time.Until(*end))
}

func (g *Gateway) readyHandler() http.Handler {
	server := echo.New()
	server.GET(g.options.ReadyPath, func(c echo.Context) error {
		if !g.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return server
}

// stop reports unready, keeps serving while the load balancer still sends connections,
// and finishes the requests in flight.
func (g *Gateway) stop(callers *http.Server, connections *callerListener) {
	started := time.Now()
	g.log.Info("gateway stopping")
	end := started.Add(g.options.Grace - abortMargin)
	g.shutdownAt.Store(&end)
	g.draining.Store(true)
	notify(g.reportNow)
	g.peers.sessions.SendHeartbeats()
	node.Pause(context.Background(), g.options.Withdrawal)
	g.serveUntilReplaced(end)
	waitUntilRead(connections, time.Now().Add(time.Until(end)/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Warn("requests cut at the end of the grace", zap.Error(err))
		if err := callers.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			g.log.Warn("connections not closed", zap.Error(err))
		}
	}
	g.log.Info("gateway stopped", zap.Duration("took", time.Since(started)))
}
