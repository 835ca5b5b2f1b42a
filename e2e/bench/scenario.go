package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"time"
)

// Size of the fleet in every scenario, that of the present deployment.
const (
	regions          = 3
	enginesPerRegion = 4
	slotsPerEngine   = 4
	teams            = 16
	totalSlots       = regions * enginesPerRegion * slotsPerEngine
	tokenIntervalMs  = 10
	// regionDelay is the one-way network delay between regions.
	regionDelay = 20 * time.Millisecond
)

const (
	// callersPerTeam is how many requests a backlogged team keeps outstanding: four
	// times its fair share of the slots.
	callersPerTeam = 4 * totalSlots / teams
	// floodFactor multiplies the requests of a flooding team.
	floodFactor = 20
	// lightInterval is the time between two requests of a light team.
	lightInterval = time.Second
	// fewOutstanding is the total of outstanding requests in the scenario few.
	fewOutstanding = 16
	// minTokens and maxTokens bound the output tokens of a request, except in
	// unknown_cost.
	minTokens = 100
	maxTokens = 300
	// minUnknownTokens and maxUnknownTokens bound the output tokens in
	// unknown_cost. maxHintError is the largest factor by which max_tokens
	// differs from them there.
	minUnknownTokens = 6
	maxUnknownTokens = 600
	maxHintError     = 5
	noTeam           = -1
)

// Target values of the figures, set by the requirements.
const (
	// targetFairnessGap is in units of the largest request per slot; see GapTracker.
	targetFairnessGap           = 1
	targetUtilisation           = 0.97
	targetDomainLossUtilisation = 0.90
	// targetControlPerNode is in bytes per second.
	targetControlPerNode    = 11_000
	targetFirstTokenAddedMs = 5
)

// Scenario is a load on the fleet, with an optional fault.
type Scenario struct {
	Name string
	// Weights of the teams.
	Weights [teams]float64
	// Callers returns how many requests a team keeps outstanding.
	Callers func(team int) int
	// Pinned teams have all their callers at one router.
	Pinned func(team int) bool
	// LightTeam is the team that sends one request per second, or noTeam.
	LightTeam int
	// Tokens draws the output tokens of a request, at most LargestTokens.
	Tokens        func(rng *rand.Rand) int
	LargestTokens int
	// HintError is the largest factor by which max_tokens differs from the output
	// tokens.
	HintError float64
	// Fault is injected within the measured window; nil for none.
	Fault *Fault
	// GapTarget and UtilisationTarget are the targets of the fairness gap and the
	// utilisation; 0 means no target.
	GapTarget         float64
	UtilisationTarget float64
}

// Fault is a failure, with an optional recovery from it.
type Fault struct {
	// After is the time from the start of the window to the fault.
	After time.Duration
	// Duration is the time from the fault to its end. Without Heal it is the time
	// after which the remaining fleet must be fully used again.
	Duration time.Duration
	// Recovery is the time after Heal within which the fairness gap must be back
	// to normal.
	Recovery time.Duration
	// Inject causes the fault, and Heal, if not nil, ends it.
	Inject func(ctx context.Context, r *scenarioRun) error
	Heal   func(ctx context.Context, r *scenarioRun) error
}

func (s Scenario) isLight(team int) bool {
	return team == s.LightTeam
}

// homeRouter returns the number of the router that a pinned team uses, modulo the number
// of routers, and whether the team is pinned.
func (s Scenario) homeRouter(team int) (int, bool) {
	if s.Pinned == nil {
		return 0, false
	}
	return team, s.Pinned(team)
}

// maxTokensHint returns a value of max_tokens that differs from tokens by a factor of
// at most HintError.
func (s Scenario) maxTokensHint(rng *rand.Rand, tokens int) int {
	if s.HintError <= 1 {
		return tokens
	}
	factor := math.Pow(s.HintError, 2*rng.Float64()-1)
	return max(1, int(float64(tokens)*factor))
}

// largestCost returns the cost of the largest request.
func (s Scenario) largestCost() float64 {
	return float64(s.LargestTokens)*generatedTokenPrice + maxPromptTokens*promptTokenPrice
}

// Scenarios returns all scenarios. The argument cut is the duration of the network
// partition in region_cut.
func Scenarios(cut time.Duration) []Scenario {
	return []Scenario{
		newScenario("steady"), weighted(), flood(), uneven(), unknownCost(), few(),
		regionCut(cut), routerRestart(), domainLoss(),
	}
}

func newScenario(name string) Scenario {
	s := Scenario{
		Name:              name,
		Callers:           func(int) int { return callersPerTeam },
		LightTeam:         noTeam,
		Tokens:            func(rng *rand.Rand) int { return minTokens + rng.IntN(maxTokens-minTokens+1) },
		LargestTokens:     maxTokens,
		GapTarget:         targetFairnessGap,
		UtilisationTarget: targetUtilisation,
	}
	for i := range s.Weights {
		s.Weights[i] = 1
	}
	return s
}

// weighted gives three teams larger weights.
func weighted() Scenario {
	s := newScenario("steady_weighted")
	s.Weights[0], s.Weights[1], s.Weights[2] = 6, 4, 3
	s.Callers = func(team int) int { return callersPerTeam * int(s.Weights[team]) }
	return s
}

// flood has one team that floods the fleet and one light team.
func flood() Scenario {
	s := newScenario("flood")
	s.LightTeam = teams - 1
	s.Callers = func(team int) int {
		if team == 0 {
			return floodFactor * callersPerTeam
		}
		return callersPerTeam
	}
	return s
}

// uneven pins each team to one router.
func uneven() Scenario {
	s := newScenario("uneven")
	s.Pinned = func(int) bool { return true }
	return s
}

// unknownCost draws costs that span two orders of magnitude, uniformly on a
// logarithmic scale.
func unknownCost() Scenario {
	s := newScenario("unknown_cost")
	s.LargestTokens = maxUnknownTokens
	s.HintError = maxHintError
	s.Tokens = func(rng *rand.Rand) int {
		return int(minUnknownTokens * math.Pow(maxUnknownTokens/minUnknownTokens, rng.Float64()))
	}
	return s
}

// few keeps one request outstanding for each team, which leaves slots free.
func few() Scenario {
	s := newScenario("few")
	s.Callers = func(int) int { return fewOutstanding / teams }
	s.GapTarget = 0
	return s
}

// regionCut partitions the last region from the others. Every third team has
// all its callers there, so that the partition splits the teams' service.
func regionCut(cut time.Duration) Scenario {
	s := newScenario("region_cut")
	s.Pinned = func(team int) bool { return team%regions == regions-1 && team < teams-1 }
	s.Fault = &Fault{
		After:    3 * time.Second,
		Duration: cut,
		Recovery: 5 * time.Second,
		Inject:   cutRegion,
		Heal:     healLinks,
	}
	return s
}

// routerRestart kills a router and restarts it without its state.
func routerRestart() Scenario {
	s := newScenario("keeper_restart")
	s.Fault = &Fault{
		After:    3 * time.Second,
		Duration: 2 * time.Second,
		Recovery: 5 * time.Second,
		Inject:   killRouter,
		Heal:     restartRouter,
	}
	return s
}

// domainLoss kills all processes of a failure domain. Utilisation is measured on the
// remaining fleet, from 3 s after the loss.
func domainLoss() Scenario {
	s := newScenario("domain_loss")
	s.UtilisationTarget = targetDomainLossUtilisation
	s.GapTarget = 0
	s.Fault = &Fault{
		After:    3 * time.Second,
		Duration: 3 * time.Second,
		Inject:   killDomain,
	}
	return s
}
