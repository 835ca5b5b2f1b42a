package bench

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Run runs a scenario, also on the baseline if the options ask for it, and returns
// the figures.
func Run(ctx context.Context, s Scenario, options Options) ([]Figure, error) {
	var product, baseline measurement
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		product, err = measure(ctx, s, false, options)
		return err
	})
	if options.Baseline {
		group.Go(func() error {
			var err error
			baseline, err = measure(ctx, s, true, options)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	logFailures(s.Name, product.failures)
	logControlTraffic(s.Name, product)
	figures := buildFigures(s, product)
	if options.Baseline {
		addBaseline(figures, buildFigures(s, baseline))
	}
	return figures, nil
}

// logFailures prints the reasons of failed requests to standard error.
func logFailures(scenario string, failures map[string]int) {
	for reason, count := range failures {
		fmt.Fprintf(os.Stderr, "%s: %d requests failed: %s\n", scenario, count, reason)
	}
}

// logControlTraffic prints the control traffic by kind of message to standard error.
func logControlTraffic(scenario string, m measurement) {
	for _, kind := range slices.Sorted(maps.Keys(m.traffic.controlByKind)) {
		perRequest := float64(m.traffic.controlByKind[kind]) / float64(max(m.totals.completed, 1))
		fmt.Fprintf(os.Stderr, "%s: %s: %.0f control bytes per request\n", scenario, kind, perRequest)
	}
}

// addBaseline sets the baseline values of the figures that apply to the baseline.
func addBaseline(figures, baseline []Figure) {
	for i := range figures {
		for _, b := range baseline {
			if b.Name == figures[i].Name && b.appliesToBaseline() {
				figures[i].Baseline = &b.Value
			}
		}
	}
}

// appliesToBaseline reports whether the figure is meaningful for the baseline,
// which has no control traffic.
func (f Figure) appliesToBaseline() bool {
	switch f.Name {
	case FairnessGap, FairnessGapDuring, FairnessGapAfterHeal, Utilisation, JainIndex,
		LightTeamWait, RequestsPerSecond, RequestsFailed:
		return true
	}
	return false
}

// buildFigures returns the figures of a measurement. A baseline has no nodes and thus no
// figures of control traffic.
func buildFigures(s Scenario, m measurement) []Figure {
	w := figureBuilder{scenario: s.Name, note: s.note()}
	if m.backlogged > 1 {
		w.add(FairnessGap, m.gap, "largest requests per slot", s.GapTarget)
		w.add(JainIndex, m.jain, "ratio", 0)
	}
	if s.Fault != nil && s.Fault.Heal != nil {
		w.add(FairnessGapDuring, m.gapDuring, "largest requests per slot", 0)
		w.add(FairnessGapAfterHeal, m.gapAfter, "largest requests per slot", s.GapTarget)
	}
	w.add(Utilisation, m.utilisation, "ratio", s.UtilisationTarget)
	if s.LightTeam != noTeam {
		w.add(LightTeamWait, milliseconds(m.lightWait), "ms", s.lightWaitTargetMs())
	}
	w.add(RequestsPerSecond, float64(m.totals.completed)/m.seconds, "1/s", 0)
	w.add(RequestsFailed, float64(m.totals.failed), "count", 0)
	if m.nodes == 0 || m.totals.completed == 0 {
		return w.figures
	}
	requests := float64(m.totals.completed)
	w.add(ControlPerRequest, float64(m.traffic.control)/requests, "B", 0)
	w.add(ControlPerNode, m.controlMax, "B/s", targetControlPerNode)
	w.add(ControlPerNodeMean, float64(m.traffic.control)/m.seconds/float64(m.nodes), "B/s", 0)
	w.add(CrossRegionPerRequest, float64(m.traffic.crossTotal)/requests, "B", 0)
	w.add(CrossRegionControl, float64(m.traffic.crossControl)/requests, "B", 0)
	w.add(CrossRegionData, float64(m.traffic.crossData)/requests, "B", 0)
	return w.figures
}

// lightWaitTargetMs returns the duration of the largest request, in milliseconds,
// divided by the slots of the light team's fair share.
func (s Scenario) lightWaitTargetMs() float64 {
	sum := 0.0
	for _, w := range s.Weights {
		sum += w
	}
	fairShare := totalSlots * s.Weights[s.LightTeam] / sum
	return float64(s.LargestTokens) * tokenIntervalMs / max(fairShare, 1)
}

func (s Scenario) note() string {
	if s.Fault == nil || s.Fault.Heal == nil {
		return ""
	}
	return fmt.Sprintf("fault lasts %s", s.Fault.Duration)
}

// figureBuilder collects the figures of one scenario.
type figureBuilder struct {
	scenario string
	note     string
	figures  []Figure
}

// add appends a figure; a target of 0 means none.
func (w *figureBuilder) add(name string, value float64, unit string, target float64) {
	f := Figure{Name: name, Scenario: w.scenario, Value: value, Unit: unit, Note: w.note}
	if target != 0 {
		f.Target = &target
	}
	w.figures = append(w.figures, f)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
