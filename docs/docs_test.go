// Package docs_test checks the operators' page against the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/dispatch"
)

const operatorsPage = "OPERATIONS.md"

// references are the tables of keys, by heading, and what they describe.
var references = map[string]any{
	"Settings of a router":  config.RouterSettings{},
	"Settings of a sidecar": config.SidecarSettings{},
	"Settings of a gateway": config.GatewaySettings{},
	"Inventory and rules":   config.Inventory{},
}

var snakeCase = regexp.MustCompile("^[a-z]+(_[a-z]+)*$")

var firstCell = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

func TestReferencesNameEveryKey(t *testing.T) {
	page := read(t, operatorsPage)
	for heading, value := range references {
		var documented []string
		for _, match := range firstCell.FindAllStringSubmatch(section(t, page, heading), -1) {
			documented = append(documented, match[1])
		}
		keys := yamlKeys(reflect.TypeOf(value), "")
		for _, key := range keys {
			if !slices.Contains(documented, key) {
				t.Errorf("%s: key %s is not documented", heading, key)
			}
		}
		for _, key := range documented {
			if !slices.Contains(keys, key) {
				t.Errorf("%s: there is no key %s", heading, key)
			}
		}
	}
}

// yamlKeys lists the paths of the keys below a type.
func yamlKeys(t reflect.Type, prefix string) []string {
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct {
		return yamlKeys(t.Elem(), prefix+"[]")
	}
	if t.Kind() != reflect.Struct {
		return []string{prefix}
	}
	if prefix != "" {
		prefix += "."
	}
	var keys []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		keys = append(keys, yamlKeys(t.Field(i).Type, prefix+name)...)
	}
	return keys
}

// names are patterns of names in the code, each with the section of the page
// that must have all of them in backquotes.
var names = []struct {
	section string
	pattern *regexp.Regexp
}{
	{"Metrics", regexp.MustCompile(`(?:expvar\.New\w+|newHistogram)\("([^"]+)"\)`)},
	{"Log events", regexp.MustCompile(`(?:[lL]og\.(?:Warn|Error)|\.warn)\("([^"]+)"`)},
	{"Traces", regexp.MustCompile(`StartSpan\([^,]+, "([^"]+)"`)},
	{"Codes of refusals", regexp.MustCompile(`(?:(?:NotRun|Unknown)\([^,()]+, |retryLater\()"([^"]+)"`)},
}

func TestPageNamesMetricsLogsTracesAndCodes(t *testing.T) {
	page := read(t, operatorsPage)
	code := productCode(t, "..")
	for _, n := range names {
		matches := n.pattern.FindAllStringSubmatch(code, -1)
		if len(matches) == 0 {
			t.Errorf("%s: nothing found in the code", n.section)
		}
		text := section(t, page, n.section)
		for _, match := range matches {
			if !strings.Contains(text, "`"+match[1]+"`") {
				t.Errorf("%s: %q is not documented", n.section, match[1])
			}
		}
	}
}

func TestCodesNameEveryReasonOfAQueue(t *testing.T) {
	text := section(t, read(t, operatorsPage), "Codes of refusals")
	for reason := dispatch.ReasonDeadline; reason.String() != ""; reason++ {
		if !strings.Contains(text, "`"+reason.String()+"`") {
			t.Errorf("reason %q is not documented", reason)
		}
		if !snakeCase.MatchString(reason.String()) {
			t.Errorf("reason %q is a code of refusals, but not in snake case", reason)
		}
	}
}

// section returns the text below a heading of the second level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, after, found := strings.Cut(page, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s has no section %q", operatorsPage, heading)
	}
	text, _, _ := strings.Cut(after, "\n## ")
	return text
}

// gatewayCodes finds the codes of a gateway's own answers.
var gatewayCodes = regexp.MustCompile(`(?:notRun\(|unknownOutcome\(|breakOff\(j, |code: |Reason = )"([^"]+)"`)

func TestPageNamesTheCodesOfAGateway(t *testing.T) {
	text := section(t, read(t, operatorsPage), "Codes of a gateway")
	code := productCode(t, "../gateway") + productCode(t, "../admission")
	matches := gatewayCodes.FindAllStringSubmatch(code, -1)
	if len(matches) == 0 {
		t.Error("nothing found in the code")
	}
	for _, match := range matches {
		if !strings.Contains(text, "`"+match[1]+"`") {
			t.Errorf("%q is not documented", match[1])
		}
	}
}

// productCode returns the Go files of the product below root, without tests.
func productCode(t *testing.T, root string) string {
	t.Helper()
	var code strings.Builder
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "e2e" || entry.Name() == ".bin" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			code.WriteString(read(t, path))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return code.String()
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
