package gateway

import (
	"context"
	"net/http"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
)

// Dialect is what callers and upstreams speak beside plain HTTP.
type Dialect interface {
	// ParseRequest reads a caller's headers. Errors tell the caller what is wrong.
	ParseRequest(r *http.Request) (exchange.Inbound, error)
	// RequestHeader returns the headers of a request to an upstream.
	RequestHeader(in exchange.Inbound, out exchange.Outbound) http.Header
	// MatchesResponse tells whether an answer belongs to a request.
	MatchesResponse(in exchange.Inbound, status int, header http.Header) bool
	// ClassifyResponse judges an answer by its head.
	ClassifyResponse(status int, header http.Header) exchange.Outcome
	// ResponseHeader returns the headers of an answer that go on to the caller.
	ResponseHeader(header http.Header) http.Header
}

// CacheLister asks engines which prompt parts they keep.
type CacheLister interface {
	ListCache(ctx context.Context, u registry.Upstream) ([]placement.Part, error)
}

// Store is where the operators' configuration and the registered upstreams are
// read from. Revisions order all changes of the store.
type Store interface {
	ReadRouting(ctx context.Context) (route.Definition, uint64, error)
	// WatchRouting waits for a change after revision. The definition is nil
	// without one.
	WatchRouting(ctx context.Context, revision uint64) (*route.Definition, uint64, error)
	ListUpstreams(ctx context.Context) ([]registry.Entry, uint64, error)
	WatchUpstreams(ctx context.Context, revision uint64) ([]registry.Entry, uint64, error)
	// RegisterRouter tells the other routers where this one accepts sessions.
	RegisterRouter(ctx context.Context, id fleet.NodeID, peerAddress string) error
	ListRouters(ctx context.Context) (map[fleet.NodeID]string, error)
}
