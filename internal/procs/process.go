package procs

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"siskinswitch.example/siskin/pkg/clock"
)

// daemonPackage is the package that [Compile] compiles.
const daemonPackage = "siskinswitch.example/siskin/cmd/siskind"

var errExitCode = errors.New("exit code is not 0")

// Compile compiles siskind into dir and returns the path of the program.
func Compile(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "siskind")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, daemonPackage).CombinedOutput()
	if err != nil {
		return "", fail("compile", Build, fmt.Errorf("%w: %s", err, out))
	}
	return path, nil
}

// Process is a program that was started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startProcess starts a program whose output is appended to the file at log.
func startProcess(program, log string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fail("start", Start, err)
	}
	// The process has its own descriptor of the file.
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	// The kernel sends this signal when the thread that started the process ends.
	// The Go runtime keeps that thread until this process ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return nil, fail("start", Start, err)
	}
	p := &Process{
		cmd:  cmd,
		done: make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // Await reads the exit code from the state.
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal. It returns an error if the process has ended.
func (p *Process) Signal(sig syscall.Signal) error {
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fail("signal", Start, err)
	}
	return nil
}

// Await waits for the end of the process and returns its exit code. It returns an
// [*Error] of kind [Timeout] if the process still runs after wait.
func (p *Process) Await(wait clock.Milli) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(wait.Duration()):
		return 0, fail("await end", Timeout, fmt.Errorf("pid %d still runs after %d ms", p.PID(), wait))
	}
}

// kill kills the process, even one stopped with SIGSTOP, and waits for its end.
func (p *Process) kill() {
	_ = p.cmd.Process.Kill() // The process may have ended already.
	<-p.done
}
