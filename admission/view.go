package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// View is a snapshot of a Scheduler's estimates and accounting for operators.
type View struct {
	// PrefillRate is the estimated prefill rate of an engine with a speed factor of one,
	// in tokens per second.
	PrefillRate float64                           `json:"prefill_rate"`
	OverheadMs  int64                             `json:"overhead_ms"`
	Upstreams   map[fleet.UpstreamID]UpstreamView `json:"upstreams"`
	Teams       map[fleet.TeamID]TeamUsage        `json:"teams"`
	// Share is the max-min fair share of a team in tokens. It is meaningful only if
	// Contended is set.
	Share     float64 `json:"share"`
	Contended bool    `json:"contended"`
}

// UpstreamView is the estimated state of one upstream, summed over all routers.
type UpstreamView struct {
	Running       int     `json:"running"`
	BacklogTokens float64 `json:"backlog_tokens"`
	MemoryTokens  int     `json:"memory_tokens"`
	// CachedTokens is the estimated number of tokens in the upstream's prompt cache.
	CachedTokens int     `json:"cached_tokens"`
	Ejected      bool    `json:"ejected"`
	FailureRate  float64 `json:"failure_rate"`
	// Evacuated is set while the upstream's failure domain is evacuated.
	Evacuated bool `json:"evacuated"`
	// Cold is nil if the upstream is not cold.
	Cold *ColdView `json:"cold,omitempty"`
	// Limit is nil if the upstream names no limit.
	Limit *LimitView `json:"limit,omitempty"`
	// Leaving is nil if the upstream has not said that it leaves, and Pause if it has asked for
	// none.
	Leaving *LeavingView `json:"leaving,omitempty"`
	Pause   *PauseView   `json:"pause,omitempty"`
	// SpeedFactor is an engine's prefill rate relative to PrefillRate, and
	// SpeedObservations the number of recent observations behind it. Both are zero for
	// plain upstreams.
	SpeedFactor       float64 `json:"speed_factor,omitempty"`
	SpeedObservations float64 `json:"speed_observations,omitempty"`
	// PlacementWeight is an engine's weight in the placement of prompts.
	PlacementWeight float64 `json:"placement_weight,omitempty"`
	// ServiceTimeMs is the estimated service time of a plain upstream.
	ServiceTimeMs float64 `json:"service_time_ms,omitempty"`
}

// viewSpeed fills in the estimates of an upstream's speed.
func (s *Scheduler) viewSpeed(now time.Time, view *UpstreamView, u *upstream) {
	if s.capacity.MemoryTokens == 0 {
		view.ServiceTimeMs = float64(s.serviceTimeOf(now, u).Microseconds()) / 1000
		return
	}
	view.SpeedFactor = u.factor
	view.SpeedObservations = u.pooledFactor.Weight
	view.PlacementWeight = u.weight.value
}

// View returns a snapshot of the scheduler's state.
func (s *Scheduler) View(now time.Time) View {
	s.expirePeers(now)
	s.refreshFactors(now)
	usage := s.usage(now).byTeam()
	view := View{
		PrefillRate: s.speed().Rate,
		OverheadMs:  s.speed().Overhead.Milliseconds(),
		Upstreams:   make(map[fleet.UpstreamID]UpstreamView, len(s.upstreams)),
		Teams:       make(map[fleet.TeamID]TeamUsage, len(usage)),
	}
	for id, u := range s.upstreams {
		total := u.total()
		upstreamView := UpstreamView{
			Running:       total.Running,
			BacklogTokens: u.backlog(now, s.speedOf(u).Rate),
			MemoryTokens:  total.Memory,
			CachedTokens:  u.cache.Tokens(),
			Ejected:       u.detector.Ejected(now),
			FailureRate:   u.detector.FailureRate(),
			Evacuated:     u.evacuated,
			Cold:          s.coldView(now, id),
			Limit:         s.limitView(id),
			Leaving:       s.leavingView(now, id),
			Pause:         s.pauseView(now, id),
		}
		s.viewSpeed(now, &upstreamView, u)
		view.Upstreams[id] = upstreamView
	}
	for account, used := range usage {
		view.Teams[account.Team] = used
	}
	view.Share, view.Contended = usage.maxMinShare()
	return view
}
