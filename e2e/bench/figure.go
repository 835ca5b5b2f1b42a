package bench

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Figure names in reports.
const (
	FairnessGap           = "fairness_gap"
	FairnessGapAfterHeal  = "fairness_gap_after_heal"
	FairnessGapDuring     = "fairness_gap_during_fault"
	Utilisation           = "utilisation"
	JainIndex             = "jain_index"
	ControlPerRequest     = "control_bytes_per_request"
	ControlPerNode        = "control_bytes_per_node_second"
	ControlPerNodeMean    = "control_bytes_per_node_second_mean"
	CrossRegionPerRequest = "cross_region_bytes_per_request"
	CrossRegionControl    = "cross_region_control_bytes_per_request"
	CrossRegionData       = "cross_region_data_bytes_per_request"
	FirstTokenAddedP95    = "first_token_added_p95_ms"
	LightTeamWait         = "light_team_wait_max_ms"
	RequestsPerSecond     = "requests_per_second"
	RequestsFailed        = "requests_failed"
	RouterCapacity        = "router_capacity_rps"
	RouterCapacityErrors  = "router_capacity_errors"
)

// targetIsMinimum holds the figures whose target is a lower bound. The targets of
// all others are upper bounds.
var targetIsMinimum = map[string]bool{Utilisation: true, JainIndex: true, RouterCapacity: true}

// Figure is one result of a benchmark.
type Figure struct {
	Name     string  `json:"name"`
	Scenario string  `json:"scenario"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	// Target is nil if there is no target.
	Target *float64 `json:"target"`
	// Baseline is nil if the baseline was not run or has no such figure.
	Baseline *float64 `json:"baseline"`
	// Note holds details of the run, such as the duration of the fault.
	Note string `json:"note,omitempty"`
}

// Met reports whether the figure meets its target; it is true without a target.
func (f Figure) Met() bool {
	if f.Target == nil {
		return true
	}
	if targetIsMinimum[f.Name] {
		return f.Value >= *f.Target
	}
	return f.Value <= *f.Target
}

// Write writes a figure as one line of JSON.
func (f Figure) Write(w io.Writer) error {
	data, err := json.Marshal(f)
	if err != nil {
		return eris.Wrap(ErrFigures, err.Error())
	}
	if _, err := w.Write(append(data, '\n')); err != nil {
		return eris.Wrap(ErrFigures, err.Error())
	}
	return nil
}

// ReadFigures reads figures, one line of JSON each.
func ReadFigures(r io.Reader) ([]Figure, error) {
	var figures []Figure
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var figure Figure
		if err := json.Unmarshal(scanner.Bytes(), &figure); err != nil {
			return nil, eris.Wrap(ErrFigures, err.Error())
		}
		figures = append(figures, figure)
	}
	if err := scanner.Err(); err != nil {
		return nil, eris.Wrap(ErrFigures, err.Error())
	}
	return figures, nil
}

// Markdown formats figures as a Markdown table.
func Markdown(figures []Figure) string {
	var b strings.Builder
	b.WriteString("| Scenario | Figure | Value | Unit | Target | Met | Baseline |\n")
	b.WriteString("|---|---|---:|---|---:|---|---:|\n")
	for _, f := range figures {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n",
			f.Scenario, f.Name, formatValue(&f.Value), f.Unit, f.formatTarget(), f.formatMet(), formatValue(f.Baseline))
	}
	return b.String()
}

func (f Figure) formatTarget() string {
	if f.Target == nil {
		return ""
	}
	if targetIsMinimum[f.Name] {
		return "≥ " + formatValue(f.Target)
	}
	return "≤ " + formatValue(f.Target)
}

func (f Figure) formatMet() string {
	switch {
	case f.Target == nil:
		return ""
	case f.Met():
		return "yes"
	default:
		return "**no**"
	}
}

func formatValue(v *float64) string {
	if v == nil {
		return ""
	}
	return fmt.Sprintf("%.4g", *v)
}
