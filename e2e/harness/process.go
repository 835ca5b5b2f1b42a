// Package harness runs fleets as real processes for the end-to-end tests: the
// product's two binaries and the stand-ins, with fault proxies on the links between
// them. Only this package starts processes.
package harness

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// pauseTimeout limits the wait until a process is paused.
const pauseTimeout = 5 * time.Second

// Errors of the package.
var (
	// ErrBinaries reports that the directory of the built binaries was not found.
	ErrBinaries = eris.New("harness: built binaries not found")
	// ErrStart reports a process that could not be started.
	ErrStart = eris.New("harness: start process")
	// ErrNotReady reports a condition that was not met in time.
	ErrNotReady = eris.New("harness: not ready")
	// ErrAddresses reports that no free loopback network or address was found.
	ErrAddresses = eris.New("harness: no free loopback network")
	// ErrControl reports a failed request to a control port.
	ErrControl = eris.New("harness: control request failed")
	// ErrFiles reports a settings file or directory that could not be written.
	ErrFiles = eris.New("harness: write settings")
	// ErrCommand reports a command of the product that failed.
	ErrCommand = eris.New("harness: command failed")
	// ErrUnknown reports a VM, link or source address that the fleet does not have.
	ErrUnknown = eris.New("harness: unknown VM, link or source")
)

// BinaryDir returns the directory of the built binaries: .bin next to go.work in the
// working directory or the nearest parent that has one.
func BinaryDir() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", eris.Wrap(ErrBinaries, err.Error())
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return filepath.Join(dir, ".bin"), nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", eris.Wrap(ErrBinaries, "no go.work above the working directory")
		}
		dir = parent
	}
}

// Process is a process that the harness started.
type Process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	waitErr error
}

// startProcess starts a binary and appends its output to logPath. The kernel kills
// the process when the parent dies.
func startProcess(name, logPath, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	// The child process has its own descriptor of the log.
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(context.Background(), binary, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrapf(ErrStart, "%s: %s", name, err)
	}
	p := &Process{name: name, logPath: logPath, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.waitErr = cmd.Wait()
	}()
	return p, nil
}

// Name returns the name given to Runner.Start.
func (p *Process) Name() string {
	return p.name
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Kill sends SIGKILL.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
}

// Terminate sends SIGTERM, which requests a graceful shutdown.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Pause sends SIGSTOP and waits until the process is paused or has exited, for at
// most pauseTimeout.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	deadline := time.Now().Add(pauseTimeout)
	for !p.paused() && p.Running() && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// paused reports whether the process is in the stopped state. In /proc/PID/stat, the
// state follows the command name in parentheses.
func (p *Process) paused() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return false
	}
	_, state, found := bytes.Cut(stat, []byte(") "))
	return found && bytes.HasPrefix(state, []byte("T"))
}

// Resume sends SIGCONT, which resumes a paused process.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// signal sends a signal unless the process has exited.
func (p *Process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Wait waits until the process exits and returns its exit error, or the error of
// ctx if that ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.waitErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Running reports whether the process has not exited; a paused process counts as
// running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Log returns the output so far of all processes started under the same name.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Runner starts processes and kills them on Close.
type Runner struct {
	binDir string
	dir    string

	mu        sync.Mutex
	processes []*Process
}

// NewRunner returns a runner that keeps logs in dir.
func NewRunner(dir string) (*Runner, error) {
	binDir, err := BinaryDir()
	if err != nil {
		return nil, err
	}
	return &Runner{binDir: binDir, dir: dir}, nil
}

// Start starts one of the built binaries. The name identifies the process and its
// log file.
func (r *Runner) Start(name, binary string, args ...string) (*Process, error) {
	p, err := startProcess(name, filepath.Join(r.dir, name+".log"), filepath.Join(r.binDir, binary), args...)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, p)
	return p, nil
}

// Run runs one of the built binaries to completion, for at most readyTimeout, and
// returns its output.
func (r *Runner) Run(ctx context.Context, binary string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(r.binDir, binary), args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), eris.Wrapf(ErrCommand, "%s: %s: %s", binary, err, out)
	}
	return string(out), nil
}

// Close kills all processes, including paused ones, and waits until they have
// exited.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.processes {
		p.Kill()
	}
	for _, p := range r.processes {
		<-p.done
	}
	r.processes = nil
}
