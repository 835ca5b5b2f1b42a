package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// readHeaderTimeout limits the time in which a client sends its request header.
const readHeaderTimeout = 10 * time.Second

// ErrServe reports a failed listener.
var ErrServe = eris.New("standin: serve")

// StandIn is a test double with a service port and a control port.
type StandIn interface {
	Handler() http.Handler
	ControlHandler() http.Handler
}

// Serve runs a stand-in on its two addresses until ctx ends. It then closes all
// connections at once, without draining requests.
func Serve(ctx context.Context, standIn StandIn, listen, control string) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(ctx, listen, standIn.Handler()) })
	group.Go(func() error { return serve(ctx, control, standIn.ControlHandler()) })
	return group.Wait()
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return eris.Wrap(ErrServe, err.Error())
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(ErrServe, err.Error())
	}
	return nil
}
