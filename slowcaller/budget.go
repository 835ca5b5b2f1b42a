// Package slowcaller bounds the memory that a gateway uses for the parts of streamed
// responses that their callers have not read yet. It decides which response is aborted
// when a bound is exceeded. The load scenarios are many callers that read slowly beside
// healthy ones, and all callers slow at once.
package slowcaller

// ResponseID identifies a response of a process. Lower identifiers are older.
type ResponseID uint64

// Cause is the bound because of which a response is aborted.
type Cause string

const (
	// CauseResponse means that the response exceeded Options.MaxResponseBytes.
	CauseResponse Cause = "response"
	// CauseTotal means that all responses together exceeded Options.MaxTotalBytes and
	// that the response held most.
	CauseTotal Cause = "total"
	// CauseDeadline means that the caller had not read the response by the request's
	// deadline.
	CauseDeadline Cause = "deadline"
	// CauseUnread means that an upstream broke off a response that it could not send
	// further because its caller did not read.
	CauseUnread Cause = "unread"
)

// Options are the bounds of a Budget.
type Options struct {
	// MaxResponseBytes limits the bytes held for one response.
	MaxResponseBytes int64
	// MaxTotalBytes limits the bytes held for all responses together.
	MaxTotalBytes int64
}

// Enabled reports whether bytes may be held at all.
func (o Options) Enabled() bool { return o.MaxResponseBytes > 0 && o.MaxTotalBytes > 0 }

// Abort is the decision to abort a response.
type Abort struct {
	ID    ResponseID
	Cause Cause
	// HeldBytes is the number of bytes that were held for the response.
	HeldBytes int64
}

// Budget counts the bytes held for each response whose caller reads slowly. It is not
// safe for concurrent use.
type Budget struct {
	options Options
	held    map[ResponseID]int64
	total   int64
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(options Options) *Budget {
	return &Budget{options: options, held: make(map[ResponseID]int64)}
}

// Hold adds bytes that the caller of a response has not accepted. It returns the
// responses to abort so that both bounds are kept; their bytes are no longer counted.
func (b *Budget) Hold(id ResponseID, bytes int64) []Abort {
	b.held[id] += bytes
	b.total += bytes
	if b.held[id] > b.options.MaxResponseBytes {
		return []Abort{b.abort(id, CauseResponse)}
	}
	var aborted []Abort
	for b.total > b.options.MaxTotalBytes {
		aborted = append(aborted, b.abort(b.largest(), CauseTotal))
	}
	return aborted
}

// Release subtracts bytes that a caller has accepted and returns the bytes that are still
// held for its response. It has no effect on a response that was aborted or has ended.
func (b *Budget) Release(id ResponseID, bytes int64) int64 {
	held, ok := b.held[id]
	if !ok {
		return 0
	}
	if bytes >= held {
		b.End(id)
		return 0
	}
	b.held[id] = held - bytes
	b.total -= bytes
	return b.held[id]
}

// End removes a response and returns the bytes that were held for it.
func (b *Budget) End(id ResponseID) int64 {
	held := b.held[id]
	b.total -= held
	delete(b.held, id)
	return held
}

// HeldBytes returns the number of bytes held for all responses.
func (b *Budget) HeldBytes() int64 { return b.total }

// LargestBytes returns the bytes held for the response that holds most.
func (b *Budget) LargestBytes() int64 { return b.held[b.largest()] }

func (b *Budget) abort(id ResponseID, cause Cause) Abort {
	return Abort{ID: id, Cause: cause, HeldBytes: b.End(id)}
}

// largest returns the response that holds most bytes, the oldest of several.
func (b *Budget) largest() ResponseID {
	var largest ResponseID
	most := int64(-1)
	for id, bytes := range b.held {
		if bytes > most || bytes == most && id < largest {
			largest, most = id, bytes
		}
	}
	return largest
}
