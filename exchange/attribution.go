package exchange

// Attribution states which request a response belongs to, as far as its head tells.
type Attribution int

// Attributions.
const (
	// Foreign means that the response belongs to another request or to none.
	Foreign Attribution = iota
	// Own means that the response bears the ID of the request.
	Own
	// Unmarked means that the response states that a request did not run, and bears no ID:
	// only the connection can tell to which request it belongs.
	Unmarked
)
