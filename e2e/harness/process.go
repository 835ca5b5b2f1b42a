// Package harness runs a fleet as real processes for the end-to-end tests: the
// product's two binaries, the stand-ins, and fault proxies on the links between
// them. It is the only package that starts processes.
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

// stopTimeout bounds the wait until a process is paused.
const pauseTimeout = 5 * time.Second

// Errors of the package.
var (
	// ErrBinaries reports that the built binaries can't be found.
	ErrBinaries = eris.New("harness: no binaries")
	// ErrStart reports a process that could not be started.
	ErrStart = eris.New("harness: start process")
	// ErrNotReady reports a condition that did not hold in time.
	ErrNotReady = eris.New("harness: not ready")
	// ErrAddresses reports that no free loopback network was found.
	ErrAddresses = eris.New("harness: no free loopback network")
	// ErrControl reports a failed call to a control port.
	ErrControl = eris.New("harness: control call")
	// ErrFiles reports settings that could not be written.
	ErrFiles = eris.New("harness: write settings")
	// ErrCommand reports a command of the product that failed.
	ErrCommand = eris.New("harness: command failed")
	// ErrUnknown reports a name that is not in the fleet.
	ErrUnknown = eris.New("harness: unknown name")
)

// BinaryDir returns the directory of the built binaries: .bin beside go.work.
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

// startProcess runs a binary with its output in logPath. The process is killed
// at the latest when this one ends.
func startProcess(name, logPath, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(ErrStart, err.Error())
	}
	// The child has its own descriptor of the log.
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

// Name returns the name that the process was started under.
func (p *Process) Name() string {
	return p.name
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
}

// Term asks the process to stop gracefully.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Stop pauses the process and returns once it is paused or has ended, at most
// after stopTimeout.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	deadline := time.Now().Add(pauseTimeout)
	for !p.paused() && p.Running() && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

// paused reports whether the kernel has stopped the process. Its state follows
// the name in parentheses.
func (p *Process) paused() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return false
	}
	_, state, found := bytes.Cut(stat, []byte(") "))
	return found && bytes.HasPrefix(state, []byte("T"))
}

// Cont resumes a paused process.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// signal sends a signal unless the process has ended.
func (p *Process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Wait waits for the end of the process and returns its exit error, or that of
// ctx.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.waitErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Running reports whether the process has not ended; a paused one runs.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Log returns what the process has written so far, of all runs under its name.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Runner starts processes and ends them all.
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

// Start runs one of the built binaries under a name of its own.
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

// Run runs a command of one of the binaries to its end and returns its output.
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

// Close kills every process that was started, also a paused one, and waits for
// their ends.
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
