package gateway

import (
	"context"
	"net/http"

	"fulmarspindle.example/fulmarspindle/evacuation"
	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/follower"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/quarantine"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
)

// Dialect defines the headers that callers and upstreams exchange in addition to plain
// HTTP.
type Dialect interface {
	// ParseRequest parses a caller's headers. The error text is returned to the caller.
	ParseRequest(r *http.Request) (exchange.Inbound, error)
	// RequestHeader returns the headers of a request to an upstream.
	RequestHeader(in exchange.Inbound, out exchange.Outbound) http.Header
	// AttributeResponse tells from the head of a response whether it belongs to a request.
	AttributeResponse(in exchange.Inbound, status int, header http.Header) exchange.Attribution
	// ClassifyResponse derives the outcome from the status and headers of a response.
	ClassifyResponse(status int, header http.Header) exchange.Outcome
	// SelfReport returns what the upstream says of itself in the head of a response. The error
	// reports what is malformed, which counts as not said.
	SelfReport(status int, header http.Header) (exchange.SelfReport, error)
	// StreamContract returns what the events of upstreams' streams look like.
	StreamContract() eventstream.Contract
	// ResponseHeader returns the response headers that are relayed to the caller.
	ResponseHeader(header http.Header) http.Header
}

// CacheLister asks engines which prompt parts they have cached.
type CacheLister interface {
	// ListCache also returns the number of unsound entries, which are left out.
	ListCache(ctx context.Context, u registry.Upstream) ([]placement.Part, int, error)
}

// Store provides the operators' configuration and the registered upstreams. Revisions
// order all changes in the store.
type Store interface {
	// Classify returns what the error of one of the other methods shows of the store.
	Classify(err error) follower.Result
	ReadRouting(ctx context.Context) (route.Definition, uint64, error)
	// WatchRouting waits for a change after revision. The definition is nil if there
	// was none.
	WatchRouting(ctx context.Context, revision uint64) (*route.Definition, uint64, error)
	ListUpstreams(ctx context.Context) ([]registry.Entry, uint64, error)
	WatchUpstreams(ctx context.Context, revision uint64) ([]registry.Entry, uint64, error)
	ListEvacuations(ctx context.Context) ([]evacuation.Change, uint64, error)
	// WatchEvacuations waits for changes after revision.
	WatchEvacuations(ctx context.Context, revision uint64) ([]evacuation.Change, uint64, error)
	// RegisterRouter publishes this router's registration for the other routers.
	RegisterRouter(ctx context.Context, id fleet.NodeID, r registry.Router) error
	ListRouters(ctx context.Context) (map[fleet.NodeID]registry.Router, error)
	// SaveBlamedPart stores a prompt part that is blamed for crashes, so that it is known
	// after all routers have ended.
	SaveBlamedPart(ctx context.Context, b quarantine.Blame) error
	RemoveBlamedPart(ctx context.Context, id quarantine.PartID) error
	ListBlamedParts(ctx context.Context) (map[quarantine.PartID]quarantine.StoredBlame, error)
}
