package fairness

import "time"

// maxSentReports limits how many unanswered reports are remembered for one team.
const maxSentReports = 4

// sentReport is the state of a team that was sent in a report.
type sentReport struct {
	seq     uint64
	charged float64
	active  bool
}

// sentReports are the unanswered reports of a team, oldest first.
type sentReports struct {
	entries [maxSentReports]sentReport
	count   int
}

func (s *sentReports) full() bool {
	return s.count == maxSentReports
}

// add records a report, dropping the oldest one if the limit is reached.
func (s *sentReports) add(r sentReport) {
	if s.full() {
		s.drop(1)
	}
	s.entries[s.count] = r
	s.count++
}

// acknowledge returns the answered report and removes it with all older ones.
func (s *sentReports) acknowledge(seq uint64) (r sentReport, ok bool) {
	for i := range s.count {
		if s.entries[i].seq != seq {
			continue
		}
		r = s.entries[i]
		s.drop(i + 1)
		return r, true
	}
	return sentReport{}, false
}

func (s *sentReports) drop(n int) {
	copy(s.entries[:], s.entries[n:s.count])
	s.count -= n
}

// Report returns the charges of the teams that changed since the last report, and
// of active or unconfirmed teams that were not reported within the refresh
// interval. It returns false if there is nothing to send.
func (l *Ledger) Report(now time.Time) (Report, bool) {
	r := Report{Seq: l.seq + 1, Teams: make([]TeamReport, 0, l.lastReportTeams)}
	kept := l.live[:0]
	for _, a := range l.live {
		if l.reportDue(a, now) {
			r.Teams = append(r.Teams, l.reportTeam(a, r.Seq, now))
		}
		if a.live() && !l.expired(a, now) {
			kept = append(kept, a)
			continue
		}
		a.inLive = false
		a.idleSince = now
		l.idle = append(l.idle, idleEntry{account: a, since: now})
	}
	clear(l.live[len(kept):])
	l.live = kept
	l.expireIdle(now)
	l.lastReportTeams = len(r.Teams)
	if len(r.Teams) == 0 {
		return Report{}, false
	}
	l.seq = r.Seq
	if l.synced {
		r.VirtualTime = l.virtualTime
	}
	return r, true
}

// reportDue reports whether a team has to be included in the next report.
func (l *Ledger) reportDue(a *account, now time.Time) bool {
	if now.Sub(a.reportedAt) >= l.cfg.RefreshInterval {
		return a.changed || a.waiting || a.unconfirmed()
	}
	return a.changed
}

func (l *Ledger) reportTeam(a *account, seq uint64, now time.Time) TeamReport {
	a.changed = false
	a.reportedAt = now
	a.sent.add(sentReport{seq: seq, charged: a.charged, active: a.waiting})
	return TeamReport{Team: a.team, Charged: a.charged, Active: a.waiting, Echo: a.echo}
}

// ApplyTotals applies a keeper's answer. Answers to reports that are no longer
// remembered are ignored.
func (l *Ledger) ApplyTotals(t Totals) {
	l.synced = true
	l.virtualTime = max(l.virtualTime, t.VirtualTime)
	for _, total := range t.Teams {
		a, ok := l.accounts[total.Team]
		if !ok {
			continue
		}
		l.applyTotal(a, t, total)
	}
}

func (l *Ledger) applyTotal(a *account, t Totals, total TeamTotal) {
	sent, ok := a.sent.acknowledge(t.ReportSeq)
	if !ok {
		return
	}
	current := t.ReportSeq >= a.activatedSeq
	a.echo = Echo{
		Keeper:          t.Keeper,
		RegionTotal:     total.RegionTotal,
		FleetTotal:      total.FleetTotal,
		ChargedIncluded: sent.charged,
		Lift:            total.Lift,
		Waived:          total.Waived,
		Stale:           !sent.active || !current,
	}
	if current {
		a.base = total.account() - sent.charged
	}
}

// live reports whether the account may have to be reported without a further
// event.
func (a *account) live() bool {
	return a.waiting || a.inFlight > 0 || a.changed || a.unconfirmed()
}

// unconfirmed reports whether some charges have not been confirmed by a keeper.
func (a *account) unconfirmed() bool {
	return a.charged != a.echo.ChargedIncluded
}

// expired reports whether an account without requests has been unused for the
// retention time. It bounds the memory while no keeper is reachable.
func (l *Ledger) expired(a *account, now time.Time) bool {
	if a.waiting || a.inFlight > 0 {
		return false
	}
	last := a.lastWaiting
	if a.lastUsed.After(last) {
		last = a.lastUsed
	}
	return !last.IsZero() && now.Sub(last) > l.cfg.Retention
}

// expireIdle removes the accounts that have been idle for the retention time.
func (l *Ledger) expireIdle(now time.Time) {
	n := 0
	for n < len(l.idle) && now.Sub(l.idle[n].since) > l.cfg.Retention {
		entry := l.idle[n]
		if !entry.account.inLive && entry.account.idleSince.Equal(entry.since) {
			delete(l.accounts, entry.account.team)
		}
		n++
	}
	if n > 0 {
		l.idle = append(l.idle[:0:0], l.idle[n:]...)
	}
}
