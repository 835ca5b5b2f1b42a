package registry

import (
	"net/netip"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// ErrInvalid reports a registration that names no upstream to use.
var ErrInvalid = eris.New("registry: invalid registration")

// Bounds of registrations, which may have been written by anybody.
const (
	// MaxNameBytes is the length of the longest identifier, service, failure domain,
	// version and address, in bytes.
	MaxNameBytes = 256
	// MaxSlots is the highest number of concurrent requests of an upstream.
	MaxSlots = 1 << 16
	// MaxColdRemaining is the longest cold period.
	MaxColdRemaining = 24 * time.Hour
	// MaxRevision is the highest revision of a store that is taken for one. No counter
	// reaches it, even one that begins with a time in nanoseconds.
	MaxRevision = 1 << 62
	// MaxStartedUnixMs is the latest start time, the end of the year 9999.
	MaxStartedUnixMs = 253_402_300_799_999
)

// ValidateID returns ErrInvalid unless id can identify an upstream, in messages to other
// routers and in the headers of requests.
func ValidateID(id fleet.UpstreamID) error {
	text := string(id)
	if text == "" || !isText(text) || !httpguts.ValidHeaderFieldValue(text) || strings.TrimSpace(text) != text {
		return eris.Wrap(ErrInvalid, "identifier")
	}
	return nil
}

// Validate returns ErrInvalid unless requests can be sent to the upstream.
func (u Upstream) Validate() error {
	if err := ValidateID(u.ID); err != nil {
		return err
	}
	if u.Service == "" || !isText(string(u.Service)) {
		return eris.Wrap(ErrInvalid, "service")
	}
	if u.Domain == "" || !isText(string(u.Domain)) {
		return eris.Wrap(ErrInvalid, "failure domain")
	}
	if !isText(u.Version) {
		return eris.Wrap(ErrInvalid, "version")
	}
	if u.Slots < 1 || u.Slots > MaxSlots {
		return eris.Wrapf(ErrInvalid, "%d slots", u.Slots)
	}
	if u.StartedUnixMs < 0 || u.StartedUnixMs > MaxStartedUnixMs {
		return eris.Wrapf(ErrInvalid, "start time %d", u.StartedUnixMs)
	}
	if u.ColdRemaining < 0 || u.ColdRemaining > MaxColdRemaining {
		return eris.Wrapf(ErrInvalid, "cold for %v", u.ColdRemaining)
	}
	return validateAddress(u.Address)
}

// validateAddress returns ErrInvalid unless address is an IP address of one host, and a port.
// Names are not looked up.
func validateAddress(address string) error {
	if len(address) > MaxNameBytes {
		return eris.Wrapf(ErrInvalid, "address of %d bytes", len(address))
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Wrapf(ErrInvalid, "address: %v", err)
	}
	ip := parsed.Addr().Unmap()
	if parsed.Port() == 0 || parsed.Addr().Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() {
		return eris.Wrapf(ErrInvalid, "address %s", parsed)
	}
	return nil
}

// isText reports whether text is at most MaxNameBytes of UTF-8. Decoders put utf8.RuneError
// in place of bytes that are not.
func isText(text string) bool {
	return len(text) <= MaxNameBytes && utf8.ValidString(text) && !strings.ContainsRune(text, utf8.RuneError)
}

// Checked returns an entry as it may be applied, and ErrInvalid if anything was wrong with it.
// latest is the highest revision of its source. An entry that names no upstream to use becomes
// a tombstone without fields. The zero Entry is returned if the identifier or the revision is
// not usable.
func (e Entry) Checked(latest uint64) (Entry, error) {
	if err := ValidateID(e.Upstream.ID); err != nil {
		return Entry{}, err
	}
	if e.Revision == 0 || e.Revision > latest {
		return Entry{}, eris.Wrapf(ErrInvalid, "revision %d, the source is at %d", e.Revision, latest)
	}
	err := e.Upstream.Validate()
	if err == nil {
		return e, nil
	}
	tombstone := Entry{Upstream: Upstream{ID: e.Upstream.ID}, Revision: e.Revision, Removed: true}
	if e.Removed {
		// The tombstone of an upstream that was never known has no fields.
		return tombstone, nil
	}
	return tombstone, err
}
