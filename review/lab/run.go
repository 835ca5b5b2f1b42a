//go:build review

package lab

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a script that takes too long.
const maxRunTime = 115 * time.Second

// Lab is one run of a script.
type Lab struct {
	// Root is the repository, Temp a temporary folder of this run.
	Root string
	Temp string
	// Trouble is unset if the run goes without the disruption.
	Trouble bool

	started time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*Process
}

// Main runs a script and ends the process with its exit code: 1 if the rule was broken, 0
// if it held, 2 if the script could not run. The arguments are the repository, the folder of
// the case, and 0 to leave the disruption out; the case's run.sh takes the last one from
// TROUBLE in the environment.
func Main(script func(l *Lab) (broken bool, err error)) {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: case REPOSITORY FOLDER TROUBLE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3] != "0", script))
}

func run(root, folder string, trouble bool, script func(l *Lab) (bool, error)) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(temp)
	l := &Lab{Root: root, Temp: temp, Trouble: trouble, started: time.Now(), record: record}
	defer l.killAll()
	l.Logf("started, trouble=%v", l.Trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := script(l)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(maxRunTime):
		r.err = errors.New("the script took too long")
	}
	switch {
	case r.err != nil:
		l.logProcesses()
		l.Reportf("NOT RUN: %v", r.err)
		return exitNotRun
	case r.broken:
		l.Reportf("RULE BROKEN")
		return exitBroken
	}
	l.Reportf("RULE HELD")
	return exitHeld
}

// logProcesses writes the last line of each process's log to the record.
func (l *Lab) logProcesses() {
	logs, _ := filepath.Glob(filepath.Join(l.Temp, "*.log")) // The pattern is well-formed.
	for _, path := range logs {
		content, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		l.Logf("last line of %s: %s", filepath.Base(path), lines[len(lines)-1])
	}
}

// Logf writes a line to the record.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Reportf writes a line to the record and to the standard output.
func (l *Lab) Reportf(format string, args ...any) {
	l.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Process is a process of the system.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a program of the deploy file's build with only the given environment, and
// appends its output to a log in the temporary folder.
func (l *Lab) start(name string, env []string, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(l.Temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(l.Root, "target", program), args...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = l.Root, env, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // The exit code is read from ProcessState.
		close(p.done)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.Logf("process %s started", name)
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (l *Lab) killAll() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		_ = p.Signal(syscall.SIGKILL) // It may have ended already.
		<-p.done
	}
}

// Await polls a condition until it holds or the time is over.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
