package gateway

import (
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/overload"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/retry"
	"fulmarspindle.example/fulmarspindle/slowcaller"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// Options configures a Gateway.
type Options struct {
	ID fleet.NodeID
	// Incarnation distinguishes restarts of this process.
	Incarnation fleet.Incarnation
	// Started is the start time of this process if it may have replaced an earlier one;
	// zero otherwise.
	Started  time.Time
	Location fleet.Location
	// Processors is the CPU time available to this process, in cores; zero if unknown.
	Processors float64
	Dialect    Dialect
	Store      Store
	// Engines may be nil; cache contents are then inferred only from the prompts that
	// were sent.
	Engines CacheLister
	// Health may be nil; an upstream that has said that it leaves then counts as leaving until
	// it starts again.
	Health HealthChecker
	Log    *zap.Logger

	// ReadyPath is the path of the load balancer's health check on the ready address.
	ReadyPath string
	// MaxHeaderBytes limits request headers. MaxBodyBytes limits request bodies unless
	// the configuration in force sets a limit of its own.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// MaxBufferedBytes limits the total size of buffered request bodies and responses.
	MaxBufferedBytes int64
	// SlowCallers bounds the bytes of streamed responses that are held for callers that
	// read slowly. They count towards MaxBufferedBytes too. If zero, none are held: an
	// upstream is read no faster than its caller reads.
	SlowCallers slowcaller.Options
	// MaxAnswerBytes is the size up to which a response that is not a stream is
	// buffered completely before it is relayed, so that a truncated one can be retried.
	MaxAnswerBytes int
	// HeaderTimeout limits reading the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a caller's connection may stay open without a
	// request.
	IdleTimeout time.Duration
	// MaxConnections limits the number of open caller connections.
	MaxConnections int
	// DefaultTimeout applies to requests whose route has no timeout.
	DefaultTimeout time.Duration

	// PeerAddress is the address at which this process accepts sessions of other
	// routers.
	PeerAddress string

	// MaxPeerStoreAge is the maximum age of another router's last contact with the
	// store for this router to rely on it for changes. Zero means that every router
	// watches the store itself.
	MaxPeerStoreAge time.Duration
	// EvacuateWithin is the time within which an evacuation of a failure domain is in
	// force. Zero means that evacuations are not followed.
	EvacuateWithin time.Duration
	// StoreRetry is the delay before a failed store call is retried.
	StoreRetry time.Duration

	// Grace limits the duration of a graceful shutdown. Withdrawal is how long new
	// connections may still arrive after this process has reported unready.
	Grace      time.Duration
	Withdrawal time.Duration

	// Overload configures when an overloaded process reports unready.
	Overload overload.Options

	Registry registry.Options
	Pool     upstream.PoolOptions
	// Policy is the initial policy.
	Policy Policy
}

// Policy is the part of the options that can change at run time.
type Policy struct {
	Admission admission.Options
	Retry     retry.BudgetOptions
	// MemberTTL is how long a router that is no longer seen keeps its part of the retry
	// budgets.
	MemberTTL time.Duration
	// Seeds are the addresses of other routers to contact initially.
	Seeds []string
	// ReportInterval is the time between load reports to the other routers while the
	// load changes.
	ReportInterval time.Duration
}
