package gateway

import (
	"encoding/binary"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/quarantine"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	// refusedCrashes is the number of crashes from which on a request is refused.
	refusedCrashes = 3
	// suspectTTL is how long a suspect is stored. A request that merely ran alongside
	// the one that caused the crash may run again afterwards.
	suspectTTL = time.Minute
)

// suspects keeps requests that crash upstreams from running again, on all routers.
type suspects struct {
	*node.Suspects
	log *zap.Logger

	// parts attributes crashes to prompt parts.
	parts *crashParts

	mu         sync.Mutex
	correlator *quarantine.CrashCorrelator[brokenRequest]
}

// brokenRequest is a request whose response broke off.
type brokenRequest struct {
	digest string
	parts  []quarantine.SuspectPart
}

func newSuspects(g *Gateway) *suspects {
	return &suspects{
		Suspects:   node.NewSuspects(g.peers.sessions, quarantine.Options{RefusedCrashes: refusedCrashes, TTL: suspectTTL}),
		log:        g.log,
		parts:      newCrashParts(g),
		correlator: quarantine.NewCrashCorrelator[brokenRequest](),
	}
}

// refusal returns the refusal of a request that has crashed too many upstreams, or of which
// a part of the prompt has; nil if there is no reason to refuse it.
func (s *suspects) refusal(j *job) *refusal {
	if refused := s.parts.refusal(j); refused != nil {
		return refused
	}
	if s.Empty() {
		return nil
	}
	suspect, ok := s.Lookup(j.digest())
	if !ok || !s.Refused(suspect) {
		return nil
	}
	if j.mayHaveRun > 0 {
		return unknownOutcome("quarantined", "upstreams crashed while they ran this request")
	}
	return notRun("quarantined", "upstreams crashed while they ran this request", time.Until(suspect.Expires))
}

// recordOutcome correlates the outcome of an attempt with crashes. A success removes
// the request from the suspects and clears the parts of its prompt, unless only the end of
// the connection marks the end of the response: a crash may look the same.
func (s *suspects) recordOutcome(j *job, outcome outlier.Outcome) {
	if outcome == outlier.Success && !j.closeDelimited {
		s.parts.recordAnswer(j)
		s.parts.recordAlive(j.upstream, j.sentAt)
	}
	switch outcome {
	case outlier.Success:
		if !s.Empty() {
			s.Remove(j.digest())
		}
	case outlier.Broken, outlier.Cut:
		s.recordBroken(j)
	case outlier.Failure, outlier.Unreachable, outlier.Corrupt:
	}
}

func (s *suspects) recordBroken(j *job) {
	request := brokenRequest{digest: j.digest(), parts: j.suspectParts()}
	s.mu.Lock()
	crashed := s.correlator.RecordBroken(time.Now(), crashID(j.upstream), request)
	s.mu.Unlock()
	if crashed {
		s.addCrash(j.upstream, []brokenRequest{request})
	}
}

// recordCrash records that an upstream was found to be failing.
func (s *suspects) recordCrash(u registry.Upstream) {
	crashCounts.Add(string(u.Service), 1)
	s.mu.Lock()
	requests := s.correlator.RecordCrash(time.Now(), crashID(u))
	s.mu.Unlock()
	s.addCrash(u, requests)
}

func (s *suspects) addCrash(u registry.Upstream, requests []brokenRequest) {
	expires := s.NewExpiry()
	digests := make([]string, 0, len(requests))
	found := make([]quarantine.Suspect, 0, len(requests))
	for _, r := range requests {
		digests = append(digests, r.digest)
		found = append(found, quarantine.Suspect{Digest: r.digest, Service: u.Service, CrashIDs: []string{crashID(u)}, Expires: expires})
	}
	s.log.Warn("upstream crashed", zap.String("service", string(u.Service)), zap.String("crash", crashID(u)), zap.Strings("digests", digests))
	s.add(found, "own")
	s.parts.addCrash(u, requests)
}

// crashID identifies a crash of an upstream by its ID and start time, which changes
// when it restarts.
func crashID(u registry.Upstream) string {
	return string(u.ID) + "/" + strconv.FormatInt(u.StartedUnixMs, 10)
}

// add adds suspects found by this router or by another one, and logs those that are
// refused from now on.
func (s *suspects) add(list []quarantine.Suspect, source string) {
	for _, found := range s.Merge(list) {
		if s.Refused(found) {
			s.log.Warn("request quarantined", zap.String("digest", found.Digest), zap.String("service", string(found.Service)),
				zap.Strings("crashes", found.CrashIDs), zap.String("source", source))
		}
	}
}

// applyUpdate applies another router's suspects.
func (s *suspects) applyUpdate(from fleet.NodeID, m *peerpb.SuspectUpdate) {
	s.add(node.SuspectsFromProto(m), string(from))
}

// view returns the suspects as shown to operators.
func (s *suspects) view(now time.Time) []Suspect {
	out := []Suspect{}
	for _, found := range s.All() {
		out = append(out, Suspect{
			Digest: found.Digest, Service: found.Service, Crashes: found.CrashIDs,
			Refused: s.Refused(found), ExpiresMs: found.Expires.Sub(now).Milliseconds(),
		})
	}
	return out
}

// digest identifies a request across its retries by the caller, whose request IDs
// differ. It covers the team, host, method, URI, body and prompt.
func (j *job) digest() string {
	h := xxhash.New()
	var sizes [8]byte
	for _, field := range [][]byte{[]byte(j.team), []byte(j.in.Host), []byte(j.method), []byte(j.in.URI), j.body} {
		binary.LittleEndian.PutUint64(sizes[:], uint64(len(field)))
		_, _ = h.Write(sizes[:]) // Writing to a hash never fails.
		_, _ = h.Write(field)
	}
	for _, part := range j.in.Prompt {
		binary.LittleEndian.PutUint64(sizes[:], part.ID)
		_, _ = h.Write(sizes[:])
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// sharedPartNames returns the names of the parts of the prompt that other requests may
// share.
func (j *job) sharedPartNames() []string {
	return j.in.PartNames[:max(len(j.in.PartNames)-1, 0)]
}
