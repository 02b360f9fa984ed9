package launcher

import (
	"io"
	"os/exec"
	"syscall"
	"time"
)

// Process is one started program.
type Process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
	// result is set before ended is closed.
	result error
}

// Name returns the name given at the start.
func (p *Process) Name() string { return p.name }

// ID returns the operating system's process identifier.
func (p *Process) ID() int { return p.command.Process.Pid }

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Kill ends the process without notice.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and kills the process if it does not end in time. It
// returns an error for a kill or an exit code other than 0.
func (p *Process) Terminate(timeout time.Duration) error {
	p.signal(syscall.SIGTERM)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		p.Kill()
		return newError("terminate", KindKilled, "%s did not end within %s", p.name, timeout)
	}
	if p.result != nil {
		return newError("terminate", KindExit, "%s: %w", p.name, p.result)
	}
	return nil
}

func (p *Process) wait(output io.Closer) {
	p.result = p.command.Wait()
	output.Close()
	close(p.ended)
}

// signal sends a signal to the process unless it has ended.
func (p *Process) signal(signal syscall.Signal) {
	if p.HasEnded() {
		return
	}
	_ = p.command.Process.Signal(signal)
}

// ownGroup puts the process into its own group, so that a terminal's interrupt
// does not reach it directly.
func ownGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true}
}
