package harness

import (
	"context"
	"fmt"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// Ports of a Server and its control port. Each server has its own IP address.
const (
	serverPort        = 7200
	serverControlPort = 7201
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// ID is the name of the registration.
	ID            string
	Service       string
	FailureDomain string
	// Slots is the number of requests that run at once.
	Slots int
	// ServiceTime is the time that a request takes.
	ServiceTime time.Duration
	// Cold is how long the server is cold after its start.
	Cold time.Duration
}

// Server is a process of the plain service stand-in that is registered as an upstream
// of a GatewayFleet.
type Server struct {
	*Process
	Control ControlClient
	options ServerOptions
	address string
}

// StartServer starts a server and registers it.
func (f *GatewayFleet) StartServer(ctx context.Context, options ServerOptions) (*Server, error) {
	address, err := f.Network.Next()
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, address: address, Control: NewControlClient(hostPort(address, serverControlPort))}
	return s, f.RestartServer(ctx, s, options.Cold)
}

// RestartServer starts a server again that has exited, and registers it. It is cold for
// the given time.
func (f *GatewayFleet) RestartServer(ctx context.Context, s *Server, cold time.Duration) error {
	var err error
	s.Process, err = f.Runner.Start(s.options.ID, "standin", "service",
		"--listen", hostPort(s.address, serverPort), "--control", hostPort(s.address, serverControlPort),
		"--id", s.options.ID, "--slots", fmt.Sprint(s.options.Slots),
		"--cost-ms", fmt.Sprint(s.options.ServiceTime.Milliseconds()), "--cold-ms", fmt.Sprint(cold.Milliseconds()))
	if err != nil {
		return err
	}
	started := time.Now()
	url := "http://" + hostPort(s.address, serverPort) + "/health"
	if err := awaitCondition(ctx, func() bool { return getStatus(ctx, url) != 0 && s.Control.Set(ctx, map[string]any{}) == nil }); err != nil {
		return err
	}
	return f.Put(ctx, standin.ServersKind, s.options.ID, standin.Registration{
		Service: s.options.Service, Address: hostPort(s.address, serverPort), FailureDomain: s.options.FailureDomain,
		Version: "v1", Slots: s.options.Slots, State: standin.ServerReady,
		ColdRemainingMs: max(cold-time.Since(started), 0).Milliseconds(), Sequence: 1, StartedUnixMs: started.UnixMilli(),
	})
}

// Received returns the number of requests that have reached the server.
func (s *Server) Received(ctx context.Context) (uint64, error) {
	counters, err := s.Control.ServiceCounters(ctx)
	return counters.Received, err
}
