//go:build review

// Command kit-3 plays the cases of the third review: it starts gateways as separate processes,
// with stand-ins of the platform's store, of servers and of clients, and checks one rule.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*testFleetOptions) (bool, error){
	"evacuation-after-drill": evacuationAfterDrill,
	"draining-after-drill":   drainingAfterDrill,
}

// testFleetOptions is what all cases need.
type testFleetOptions struct {
	root    string
	rec     *recorder
	trouble bool
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() (code int) {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "folder of the repository")
	record := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		return exitNotRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	defer func() {
		if cause := recover(); cause != nil {
			rec.summary("%v", cause)
			code = exitNotRun
		}
	}()
	broken, err := play(&testFleetOptions{root: absolute, rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.summary("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.summary("the rule is broken")
		return exitBroken
	}
	rec.summary("the rule held")
	return exitHeld
}

var (
	errStoreAway = errors.New("the store did not acknowledge a write")
	errNotServed = errors.New("too few requests were served")
)
