package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/quarantine"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	// crashEvidenceTTL is how long a crash is evidence against prompt parts.
	crashEvidenceTTL = time.Hour
	// partTrialDelay is the time from the last crash of a blamed prompt part until its first
	// trial. A part that is blamed wrongly is refused for this long.
	partTrialDelay = 4 * time.Second
)

// Sources of evidence other than the ID of a router.
const (
	sourceOwn   = "own"
	sourceStore = "store"
)

// errPartBlamed is the cancellation cause of an attempt whose prompt has a part that was
// blamed for crashes meanwhile.
var errPartBlamed = eris.New("gateway: a part of the prompt crashes upstreams")

// crashParts keeps requests with prompt parts that crash upstreams from running, on all
// routers.
type crashParts struct {
	gateway *Gateway
	log     *zap.Logger

	mu   sync.Mutex
	list *quarantine.PartList
	// blamed holds the blamed parts as last logged.
	blamed map[quarantine.PartID]quarantine.Blame
	// attempts holds the running attempts of requests with shared prompt parts.
	attempts map[*job]context.CancelCauseFunc
}

func newCrashParts(g *Gateway) *crashParts {
	return &crashParts{
		gateway: g, log: g.log,
		list: quarantine.NewPartList(quarantine.PartOptions{
			BlamedCrashes: refusedCrashes, TTL: crashEvidenceTTL, TrialDelay: partTrialDelay,
		}),
		blamed:   make(map[quarantine.PartID]quarantine.Blame),
		attempts: make(map[*job]context.CancelCauseFunc),
	}
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last.
func (j *job) sharedParts() placement.Prompt { return j.in.Prompt[:max(len(j.in.Prompt)-1, 0)] }

func (j *job) sharedPartIDs() []quarantine.PartID {
	shared := j.sharedParts()
	ids := make([]quarantine.PartID, len(shared))
	for i, part := range shared {
		ids[i] = quarantine.PartID(part.ID)
	}
	return ids
}

// suspectParts returns the shared parts of the prompt as evidence of a crash.
func (j *job) suspectParts() []quarantine.SuspectPart {
	var out []quarantine.SuspectPart
	parent := quarantine.PartID(0)
	for i, part := range j.sharedParts() {
		suspect := quarantine.SuspectPart{ID: quarantine.PartID(part.ID), Parent: parent, Waiting: !j.answerBegun.Load()}
		if i < len(j.in.PartNames) {
			suspect.Name = quarantine.TrimPartName(j.in.PartNames[i])
		}
		out = append(out, suspect)
		parent = suspect.ID
	}
	return out
}

// refusal returns the refusal of a request whose prompt has a blamed part, or nil. A
// request that may be sent as a trial is not refused.
func (c *crashParts) refusal(j *job) *refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	blames := c.list.Blamed(time.Now(), j.sharedPartIDs())
	if len(blames) == 0 || c.trialDue(blames) {
		return nil
	}
	return partRefusal(j, blames)
}

// claimTrial decides on a request that is about to be sent: if its prompt has blamed parts,
// it is a trial of them that no other router may begin meanwhile, or it is refused.
func (c *crashParts) claimTrial(j *job) *refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	blames := c.list.Blamed(time.Now(), j.sharedPartIDs())
	if len(blames) == 0 {
		return nil
	}
	if !c.trialDue(blames) {
		return partRefusal(j, blames)
	}
	j.trial = true
	for _, b := range blames {
		c.list.BeginTrial(time.Now(), b.Part)
		c.gateway.peers.broadcast(func() *peerpb.Envelope {
			return &peerpb.Envelope{Body: &peerpb.Envelope_PartTrial{PartTrial: &peerpb.PartTrial{Id: uint64(b.Part)}}}
		})
		partTrialCounts.Add(string(b.Service), 1)
		c.log.Info("trial of a blamed prompt part", append(blameFields(b), zap.String("request", j.in.ID))...)
	}
	return nil
}

// trialDue reports whether a trial of all blamed parts may begin now. The caller holds mu.
func (c *crashParts) trialDue(blames []quarantine.Blame) bool {
	now := time.Now()
	for _, b := range blames {
		if !c.list.TrialDue(now, b, c.rank(b.Part)) {
			return false
		}
	}
	return true
}

// rank returns the position of this router among all connected ones in the rendezvous
// order of a part.
func (c *crashParts) rank(part quarantine.PartID) int {
	key := uint64(part)
	own := placement.RendezvousScore(key, string(c.gateway.options.ID))
	rank := 0
	for _, s := range c.gateway.peers.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		if placement.RendezvousScore(key, string(s.ID())) > own {
			rank++
		}
	}
	return rank
}

func partRefusal(j *job, blames []quarantine.Blame) *refusal {
	const code, message = "prompt_part_quarantined", "upstreams crash on a part of this prompt"
	if j.mayHaveRun > 0 {
		return unknownOutcome(code, message)
	}
	wait := partTrialDelay
	for _, b := range blames {
		wait = max(wait, time.Until(b.TrialAt))
	}
	return notRun(code, message, wait)
}

// blocks reports whether a request that was claimed must not be sent any more, because a
// part of its prompt was blamed meanwhile.
func (c *crashParts) blocks(j *job) bool {
	if j.trial {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.list.Blamed(time.Now(), j.sharedPartIDs())) > 0
}

// track returns the context of an attempt. It is canceled when a part of the prompt is
// blamed before the response begins, unless the attempt is a trial. The returned function
// ends the tracking.
func (c *crashParts) track(ctx context.Context, j *job) (context.Context, func()) {
	if len(j.sharedParts()) == 0 || j.trial {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[j] = cancel
	return ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.attempts, j)
		cancel(nil)
	}
}

// cancelWaiting cancels the attempts that await the response to a prompt with a part: the
// upstream would crash when it begins it. The caller holds mu.
func (c *crashParts) cancelWaiting(part quarantine.PartID) {
	for j, cancel := range c.attempts {
		if j.answerBegun.Load() {
			continue
		}
		for _, id := range j.sharedPartIDs() {
			if id == part {
				cancel(errPartBlamed)
			}
		}
	}
}

// addCrash adds a crash whose requests this router had sent, and tells the other routers.
func (c *crashParts) addCrash(u registry.Upstream, requests []brokenRequest) {
	found := quarantine.Crash{ID: crashID(u), Service: u.Service, At: time.Now(), Parts: distinctParts(requests)}
	if len(found.Parts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	merged := c.list.Merge(time.Now(), found)
	found.Parts = append(found.Parts, merged.Cleared.Parts...)
	c.broadcastCrashes(found)
	c.logChanges(sourceOwn)
}

// distinctParts returns each suspect part of some requests once.
func distinctParts(requests []brokenRequest) []quarantine.SuspectPart {
	var out []quarantine.SuspectPart
	for _, r := range requests {
		for _, part := range r.parts {
			i := slices.IndexFunc(out, func(p quarantine.SuspectPart) bool { return p.ID == part.ID })
			if i < 0 {
				out = append(out, part)
				continue
			}
			out[i].Waiting = out[i].Waiting || part.Waiting
		}
	}
	return out
}

// recordAnswer records a complete response, which clears the parts of its prompt.
func (c *crashParts) recordAnswer(j *job) {
	shared := j.sharedPartIDs()
	if len(shared) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cleared := c.list.RecordAnswer(time.Now(), shared); len(cleared) > 0 {
		c.broadcastCrashes(cleared...)
		c.logChanges(sourceOwn)
	}
}

// recordAlive records a response to a request that was sent at a time. It refutes the crash
// of an upstream that some router could not reach just before.
func (c *crashParts) recordAlive(u registry.Upstream, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.list.RecordAlive(crashID(u), sent) {
		return
	}
	c.log.Info("crash refuted", zap.String("crash", crashID(u)))
	c.broadcastCrashes(quarantine.Crash{ID: crashID(u), Service: u.Service, At: time.Now(), Refuted: true})
	c.logChanges(sourceOwn)
}

// logChanges logs which parts are blamed from now on or no longer, and cancels the attempts
// concerned. What another router's evidence leads to is passed on, because some routers
// may have no session with it. The caller holds mu.
func (c *crashParts) logChanges(source string) {
	now := time.Now()
	current := make(map[quarantine.PartID]quarantine.Blame)
	for _, b := range c.list.Blames(now) {
		current[b.Part] = b
		if _, known := c.blamed[b.Part]; known {
			continue
		}
		c.log.Warn("prompt part blamed", append(blameFields(b), zap.String("source", source))...)
		c.cancelWaiting(b.Part)
		switch source {
		case sourceOwn:
			go c.save(c.gateway.background, b)
		case sourceStore:
		default:
			c.broadcastCrashes(c.list.Evidence(now, b.Part)...)
		}
	}
	for id, b := range c.blamed {
		if _, still := current[id]; !still {
			c.log.Info("prompt part cleared", append(blameFields(b), zap.String("source", source))...)
			if source == sourceOwn {
				go c.remove(c.gateway.background, id)
			}
		}
	}
	c.blamed = current
	blamedParts.Set(int64(len(current)))
}

func blameFields(b quarantine.Blame) []zap.Field {
	return []zap.Field{zap.String("part", b.Name), zap.Uint64("part_id", uint64(b.Part)), zap.String("service", string(b.Service)),
		zap.Strings("crashes", b.Crashes), zap.Duration("trial_in", time.Until(b.TrialAt))}
}

// view returns the blamed parts as shown to operators.
func (c *crashParts) view(now time.Time) []BlamedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []BlamedPart{}
	for _, b := range c.list.Blames(now) {
		out = append(out, BlamedPart{
			Part: b.Name, ID: uint64(b.Part), Service: b.Service, Crashes: b.Crashes, TrialMs: b.TrialAt.Sub(now).Milliseconds(),
		})
	}
	return out
}

// applyUpdate applies crashes that another router has found, and tells it and the others
// which of the parts this router clears.
func (c *crashParts) applyUpdate(s *peer.Session, m *peerpb.CrashUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var cleared, known []quarantine.Crash
	for _, found := range crashesFromProto(now, m) {
		merged := c.list.Merge(now, found)
		if len(merged.Cleared.Parts) > 0 {
			cleared = append(cleared, merged.Cleared)
		}
		if len(merged.Known.Parts) > 0 || merged.Known.Refuted {
			known = append(known, merged.Known)
		}
	}
	c.broadcastCrashes(cleared...)
	if len(known) > 0 {
		s.Send(crashEnvelope(now, known))
	}
	c.logChanges(string(s.ID()))
}

// applyTrial records a trial of another router.
func (c *crashParts) applyTrial(m *peerpb.PartTrial) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.BeginTrial(time.Now(), quarantine.PartID(m.GetId()))
}

// sendAll sends all evidence over a new session.
func (c *crashParts) sendAll(s *peer.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if all := c.list.Evidence(now, 0); len(all) > 0 {
		s.Send(crashEnvelope(now, all))
	}
}

func (c *crashParts) broadcastCrashes(list ...quarantine.Crash) {
	if len(list) > 0 {
		c.gateway.peers.broadcast(func() *peerpb.Envelope { return crashEnvelope(time.Now(), list) })
	}
}
