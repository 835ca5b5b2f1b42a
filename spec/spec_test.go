package spec

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// checkTimeout bounds one run of the checker.
const checkTimeout = 2 * time.Minute

// searchDepth bounds the steps of one path. A path that reaches it fails the
// test.
const searchDepth = "200000"

// model is a Promela file in this directory.
type model struct {
	file string
	// properties lists the ltl formulas, which are checked under weak fairness.
	properties []string
	// mutants lists the macros that switch a mechanism off. Each must make the
	// safety check or one of the properties fail.
	mutants []string
}

var models = []model{
	{
		file: "claim.pml",
		mutants: []string{
			"MUTANT_UNCONDITIONAL", "MUTANT_UNKNOWN_IS_DONE", "MUTANT_NO_FENCE", "MUTANT_RELEASE_UNKNOWN",
		},
	},
	{
		file:    "config.pml",
		mutants: []string{"MUTANT_UNCONDITIONAL", "MUTANT_NO_READ_BACK", "MUTANT_ADOPT_ANY"},
	},
	{
		file:       "drain.pml",
		properties: []string{"returned_runs"},
		mutants:    []string{"MUTANT_STICKY", "MUTANT_NO_INCARNATION", "MUTANT_NO_REJECT"},
	},
	{
		file:       "grant.pml",
		properties: []string{"served", "served_thawed", "released"},
		mutants: []string{
			"MUTANT_NO_EXPIRY", "MUTANT_NO_PASS_OVER", "MUTANT_KEEP_QUEUED", "MUTANT_RUN_LAPSED",
		},
	},
}

func TestModels(t *testing.T) {
	requireTools(t)
	for _, m := range models {
		t.Run(m.file, func(t *testing.T) {
			if failure := check(t, m, ""); failure != "" {
				t.Fatalf("the model fails:\n%s", failure)
			}
			for _, mutant := range m.mutants {
				t.Run(mutant, func(t *testing.T) {
					if check(t, m, mutant) == "" {
						t.Fatal("the checker finds no error in the mutant")
					}
				})
			}
		})
	}
}

func requireTools(t *testing.T) {
	t.Helper()
	for _, tool := range []string{"spin", "gcc"} {
		if _, err := exec.LookPath(tool); err != nil {
			t.Fatalf("%s is needed to check the models; install the Debian package %q", tool, tool)
		}
	}
}

// check verifies the assertions and each property of a model. It returns the
// checker's report of the first that fails, or "".
func check(t *testing.T, m model, mutant string) string {
	t.Helper()
	dir := generate(t, m.file, mutant)
	runs := []struct{ compile, arguments []string }{
		{[]string{"-DSAFETY", "-DNOCLAIM"}, nil},
	}
	for _, p := range m.properties {
		runs = append(runs, struct{ compile, arguments []string }{
			[]string{"-DNFAIR=5"}, []string{"-a", "-f", "-N", p},
		})
	}
	for _, r := range runs {
		command(t, dir, "gcc", append(r.compile, "-O2", "-w", "-o", "pan", "pan.c")...)
		report := command(t, dir, "./pan", append(r.arguments, "-m"+searchDepth, "-w22")...)
		if found := errorCount(t, report); found > 0 {
			return report
		}
	}
	return ""
}

// generate writes the checker's source into a directory of its own.
func generate(t *testing.T, file, mutant string) string {
	t.Helper()
	dir := t.TempDir()
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if mutant != "" && !strings.Contains(string(source), mutant) {
		t.Fatalf("%s has no mutant %s", file, mutant)
	}
	if err := os.WriteFile(filepath.Join(dir, file), source, 0o600); err != nil {
		t.Fatal(err)
	}
	arguments := []string{"-a"}
	if mutant != "" {
		arguments = append(arguments, "-D"+mutant)
	}
	command(t, dir, "spin", append(arguments, file)...)
	return dir
}

func command(t *testing.T, dir, name string, arguments ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), checkTimeout)
	defer cancel()
	c := exec.CommandContext(ctx, name, arguments...)
	c.Dir = dir
	out, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(arguments, " "), err, out)
	}
	return string(out)
}

var errorsLine = regexp.MustCompile(`depth reached \d+, errors: (\d+)`)

// errorCount reads the result of a search that was complete.
func errorCount(t *testing.T, report string) int {
	t.Helper()
	found := errorsLine.FindStringSubmatch(report)
	if found == nil || strings.Contains(report, "max search depth too small") {
		t.Fatalf("the search was not complete:\n%s", report)
	}
	if found[1] == "0" {
		return 0
	}
	return 1
}
