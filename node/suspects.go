package node

import (
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/quarantine"
)

// Suspects is the quarantine list of a process. It forwards each change of the list to
// the routers that the process has sessions with. It is safe for concurrent use.
type Suspects struct {
	sessions *Sessions
	options  quarantine.Options

	mu   sync.Mutex
	list *quarantine.List
}

// NewSuspects returns an empty list that forwards changes over sessions.
func NewSuspects(sessions *Sessions, options quarantine.Options) *Suspects {
	return &Suspects{sessions: sessions, options: options, list: quarantine.NewList(options)}
}

// NewExpiry returns the expiry of a suspect of a crash that is detected now.
func (s *Suspects) NewExpiry() time.Time { return time.Now().Add(s.options.TTL) }

// Empty reports whether the list has no suspects.
func (s *Suspects) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Len() == 0
}

// Lookup returns the unexpired suspect with a digest.
func (s *Suspects) Lookup(digest string) (quarantine.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Lookup(digest, time.Now())
}

// Refused reports whether the request of a suspect must not run again.
func (s *Suspects) Refused(suspect quarantine.Suspect) bool { return s.list.Refused(suspect) }

// Remove removes the suspect with a digest, as when its request has completed. The
// removal is not forwarded.
func (s *Suspects) Remove(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Remove(digest)
}

// All returns the unexpired suspects, sorted by digest.
func (s *Suspects) All() []quarantine.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.All(time.Now())
}

// Merge adds suspects found by this process or another one. It forwards those that
// changed the list, as merged, and returns them.
func (s *Suspects) Merge(list []quarantine.Suspect) []quarantine.Suspect {
	updated := s.mergeUpdated(list)
	if len(updated) == 0 {
		return nil
	}
	for _, session := range s.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		session.Send(suspectsEnvelope(updated))
	}
	return updated
}

func (s *Suspects) mergeUpdated(list []quarantine.Suspect) []quarantine.Suspect {
	now := time.Now()
	var updated []quarantine.Suspect
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, suspect := range list {
		if s.list.Merge(suspect, now) {
			merged, _ := s.list.Lookup(suspect.Digest, now)
			updated = append(updated, merged)
		}
	}
	return updated
}

// SendAll sends the whole list over a new session.
func (s *Suspects) SendAll(session *peer.Session) {
	if all := s.All(); len(all) > 0 {
		session.Send(suspectsEnvelope(all))
	}
}

func suspectsEnvelope(list []quarantine.Suspect) *peerpb.Envelope {
	update := &peerpb.SuspectUpdate{}
	for _, s := range list {
		update.Suspects = append(update.Suspects, &peerpb.Suspect{
			Digest:        s.Digest,
			CrashIds:      s.CrashIDs,
			ExpiresUnixMs: uint64(s.Expires.UnixMilli()),
			Team:          string(s.Team),
			Service:       string(s.Service),
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Suspects{Suspects: update}}
}

// SuspectsFromProto converts a message of another process to suspects.
func SuspectsFromProto(m *peerpb.SuspectUpdate) []quarantine.Suspect {
	var list []quarantine.Suspect
	for _, s := range m.GetSuspects() {
		list = append(list, quarantine.Suspect{
			Digest:   s.GetDigest(),
			CrashIDs: s.GetCrashIds(),
			Expires:  time.UnixMilli(int64(s.GetExpiresUnixMs())),
			Team:     fleet.TeamID(s.GetTeam()),
			Service:  fleet.ServiceID(s.GetService()),
		})
	}
	return list
}
