package gateway

import (
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/overload"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/retry"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// Options set up a Gateway.
type Options struct {
	ID fleet.NodeID
	// Incarnation tells the starts of this process apart.
	Incarnation fleet.Incarnation
	// Started is when the process started if another one may have served in its
	// place before, else zero.
	Started  time.Time
	Location fleet.Location
	// Processors is the processor time that this process may use, in cores; zero
	// if it is not known.
	Processors float64
	Dialect    Dialect
	Store      Store
	// Engines may be nil: then caches are known from what was sent only.
	Engines CacheLister
	Log     *zap.Logger

	// ReadyPath is where the balancer asks on the ready address.
	ReadyPath string
	// MaxHeaderBytes and MaxBodyBytes bound requests before a configuration
	// says how much is allowed.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// MaxBufferedBytes bounds the bodies of all requests in flight, and of the
	// answers that are held.
	MaxBufferedBytes int64
	// MaxAnswerBytes is the size up to which an answer that is no stream is
	// held until it is whole, so that a broken one can be asked for again.
	MaxAnswerBytes int
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may stay without a request.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections of callers.
	MaxConnections int
	// DefaultTimeout bounds requests whose route has no timeout.
	DefaultTimeout time.Duration

	// PeerAddress is where this process accepts sessions.
	PeerAddress string

	// MaxPeerStoreAge is how long after the store's last word to another router this one
	// relies on that router for changes; zero if each watches for itself.
	MaxPeerStoreAge time.Duration
	// StoreRetry is the pause after a failed call to the store.
	StoreRetry time.Duration

	// Grace bounds a graceful shutdown. Withdrawal is how long connections
	// may still come after this process turned unready.
	Grace      time.Duration
	Withdrawal time.Duration

	// Overload decides when a process that can't keep up turns unready.
	Overload overload.Options

	Registry registry.Options
	Pool     upstream.PoolOptions
	// Policy is the one at the start.
	Policy Policy
}

// Policy is the part of the options that may change while a gateway serves.
type Policy struct {
	Admission admission.Options
	Retry     retry.BudgetOptions
	// MemberTTL is how long a router that is not seen any more keeps its part of
	// the retry budgets.
	MemberTTL time.Duration
	// Seeds are the addresses of other routers to ask first.
	Seeds []string
	// ReportInterval is the time between two reports of a changing load to the
	// other routers.
	ReportInterval time.Duration
}
