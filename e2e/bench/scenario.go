package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"time"
)

// The fleet of every scenario: today's shape.
const (
	regions          = 3
	enginesPerRegion = 4
	slotsPerEngine   = 4
	teams            = 16
	totalSlots       = regions * enginesPerRegion * slotsPerEngine
	tokenIntervalMs  = 10
	// regionDelay is the one-way delay between regions.
	regionDelay = 20 * time.Millisecond
)

const (
	// callersTeam is how many requests a backlogged team keeps outstanding: four
	// times its fair share of the slots.
	callersPerTeam = 4 * totalSlots / teams
	// floodFactor multiplies the requests of a flooding team.
	floodFactor = 20
	// lightInterval is the time between two requests of a light team.
	lightInterval = time.Second
	// fewCallers is the requests outstanding in the scenario few.
	fewOutstanding = 16
	// minTokens and maxTokens bound the cost of a request but for unknownCost.
	minTokens = 100
	maxTokens = 300
	// minUnknown and maxUnknown bound that of unknown_cost, maxHintError how
	// far its hints are off.
	minUnknownTokens = 6
	maxUnknownTokens = 600
	maxHintError     = 5
	noTeam           = -1
)

// Targets, from the issue.
const (
	targetFairnessGap           = 1
	targetUtilisation           = 0.97
	targetDomainLossUtilisation = 0.90
	targetControlPerNode        = 11_000
	targetFirstTokenAddedMs     = 5
)

// Scenario is a load and what happens to the fleet under it.
type Scenario struct {
	Name string
	// Weights of the teams.
	Weights [teams]float64
	// Callers returns how many requests a team keeps outstanding.
	Callers func(team int) int
	// Pinned teams have all their callers at one router.
	Pinned func(team int) bool
	// Light is the team that sends one request a second, or noTeam.
	LightTeam int
	// Tokens returns the cost of a request, at most Largest.
	Tokens        func(rng *rand.Rand) int
	LargestTokens int
	// HintError is the factor by which max_tokens is off at most.
	HintError float64
	// Fault happens within the window; nil for none.
	Fault *Fault
	// GapTarget and UtilisationTarget are 0 where none is set.
	GapTarget         float64
	UtilisationTarget float64
}

// Fault is a failure and its end.
type Fault struct {
	// After is the time from the window's start to the failure.
	After time.Duration
	// Lasts is the time from the failure to the heal. Without a Heal it is the
	// time after which the fleet is to be as busy as before.
	Duration time.Duration
	// Recovery is the time from the heal within which the gap is to be back.
	Recovery time.Duration
	Inject   func(ctx context.Context, r *scenarioRun) error
	Heal     func(ctx context.Context, r *scenarioRun) error
}

func (s Scenario) isLight(team int) bool {
	return team == s.LightTeam
}

func (s Scenario) homeRouter(team int) (int, bool) {
	if s.Pinned == nil {
		return 0, false
	}
	return team, s.Pinned(team)
}

// hint returns a max_tokens that is wrong by up to HintError.
func (s Scenario) maxTokensHint(rng *rand.Rand, tokens int) int {
	if s.HintError <= 1 {
		return tokens
	}
	factor := math.Pow(s.HintError, 2*rng.Float64()-1)
	return max(1, int(float64(tokens)*factor))
}

// largest returns the cost of the largest request.
func (s Scenario) largestCost() float64 {
	return float64(s.LargestTokens)*generatedTokenPrice + maxPromptTokens*promptTokenPrice
}

// Scenarios returns all scenarios on the whole fleet. Cut is the length of the
// cut of region_cut.
func Scenarios(cut time.Duration) []Scenario {
	return []Scenario{
		newScenario("steady"), weighted(), flood(), uneven(), unknownCost(), few(),
		regionCut(cut), keeperRestart(), domainLoss(),
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

// weighted has a few large teams.
func weighted() Scenario {
	s := newScenario("steady_weighted")
	s.Weights[0], s.Weights[1], s.Weights[2] = 6, 4, 3
	s.Callers = func(team int) int { return callersPerTeam * int(s.Weights[team]) }
	return s
}

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

func uneven() Scenario {
	s := newScenario("uneven")
	s.Pinned = func(int) bool { return true }
	return s
}

// unknownCost draws costs over two decades, evenly on a logarithmic scale.
func unknownCost() Scenario {
	s := newScenario("unknown_cost")
	s.LargestTokens = maxUnknownTokens
	s.HintError = maxHintError
	s.Tokens = func(rng *rand.Rand) int {
		return int(minUnknownTokens * math.Pow(maxUnknownTokens/minUnknownTokens, rng.Float64()))
	}
	return s
}

// few has one request outstanding for each team.
func few() Scenario {
	s := newScenario("few")
	s.Callers = func(int) int { return fewOutstanding / teams }
	s.GapTarget = 0
	return s
}

// regionCut cuts the last region off. A quarter of the teams have all their
// callers there, so that the cut pulls the teams' service apart.
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

// keeperRestart kills a router and starts it again, empty.
func keeperRestart() Scenario {
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

// domainLoss kills all processes of a failure domain. The utilisation counts
// from 3 s after the loss, over what is left.
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
