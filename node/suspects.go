package node

import (
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/quarantine"
)

// Suspects is the quarantine list of a process. What is news to it is passed on to
// the routers that it has sessions with. It is safe for concurrent use.
type Suspects struct {
	sessions *Sessions
	options  quarantine.Options

	mu   sync.Mutex
	list *quarantine.List
}

// NewSuspects returns an empty list.
func NewSuspects(sessions *Sessions, options quarantine.Options) *Suspects {
	return &Suspects{sessions: sessions, options: options, list: quarantine.NewList(options)}
}

// NewExpiry returns until when a request is suspected of a crash that is seen now.
func (s *Suspects) NewExpiry() time.Time { return time.Now().Add(s.options.TTL) }

// Empty reports whether no request is suspected.
func (s *Suspects) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Len() == 0
}

// Lookup returns what is known of a digest.
func (s *Suspects) Lookup(digest string) (quarantine.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Lookup(digest, time.Now())
}

// Refused reports whether a suspect must not run again.
func (s *Suspects) Refused(suspect quarantine.Suspect) bool { return s.list.Refused(suspect) }

// Remove forgets a request that was answered.
func (s *Suspects) Remove(digest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Remove(digest)
}

// All returns the suspects.
func (s *Suspects) All() []quarantine.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.All(time.Now())
}

// Merge merges suspects, passes on those that are news, and returns them.
func (s *Suspects) Merge(list []quarantine.Suspect) []quarantine.Suspect {
	news := s.merge(list)
	if len(news) == 0 {
		return nil
	}
	for _, session := range s.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		session.Send(suspectsEnvelope(news))
	}
	return news
}

func (s *Suspects) merge(list []quarantine.Suspect) []quarantine.Suspect {
	now := time.Now()
	var news []quarantine.Suspect
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, found := range list {
		if s.list.Merge(found, now) {
			merged, _ := s.list.Lookup(found.Digest, now)
			news = append(news, merged)
		}
	}
	return news
}

// SendAll sends the whole list to a new session.
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

// SuspectsFromWire decodes suspects of another process.
func SuspectsFromWire(m *peerpb.SuspectUpdate) []quarantine.Suspect {
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
