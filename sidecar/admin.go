package sidecar

import (
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"
)

// adminHeaderTimeout bounds the time in which an admin client has to send its
// request headers.
const adminHeaderTimeout = 5 * time.Second

// serveAdmin starts a server of the liveness, readiness and metrics endpoints and
// returns it. The caller closes it.
func (s *Sidecar) serveAdmin(ln net.Listener) *http.Server {
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !s.scheduler.load().Accepting {
			return c.String(http.StatusServiceUnavailable, "not accepting\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: adminHeaderTimeout,
		ErrorLog:          zap.NewStdLog(s.log),
	}
	go func() {
		if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("admin listener failed", zap.Error(err))
		}
	}()
	return server
}
