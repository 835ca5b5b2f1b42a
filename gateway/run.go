package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// adminHeaderTimeout limits reading the request headers on the ready and metrics addresses.
const adminHeaderTimeout = 2 * time.Second

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
