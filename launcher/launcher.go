package launcher

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// endTimeout limits the graceful shutdown of one process when all are stopped. It
// is longer than a node's own limit for requests in flight.
const endTimeout = 40 * time.Second

// Launcher starts processes and stops those still running.
type Launcher struct {
	directory string

	mu        sync.Mutex
	processes []*Process
	stopped   bool
}

// New returns a launcher that writes each process's output to directory/NAME.log.
func New(directory string) *Launcher {
	return &Launcher{directory: directory}
}

// Start starts a program as a child process.
func (l *Launcher) Start(name, program string, arguments ...string) (*Process, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil, newError("start", KindStopped, "%s: the launcher has stopped", name)
	}
	output, err := os.OpenFile(filepath.Join(l.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, newError("start", KindOutput, "%s: %w", name, err)
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = ownGroup()
	if err := command.Start(); err != nil {
		return nil, newError("start", KindStart, "%s: %w", name, errors.Join(err, output.Close()))
	}
	process := &Process{name: name, command: command, ended: make(chan struct{})}
	l.processes = append(l.processes, process)
	go process.wait(output)
	return process, nil
}

// Stop ends every running process, gracefully at first, and waits for it. It
// returns an error for each process that was killed or exited with a code other
// than 0.
func (l *Launcher) Stop() error {
	l.mu.Lock()
	l.stopped = true
	running := slices.Clone(l.processes)
	l.mu.Unlock()
	var ends sync.WaitGroup
	failures := make([]error, len(running))
	for i, process := range running {
		if process.HasEnded() {
			continue
		}
		ends.Go(func() {
			process.Thaw()
			failures[i] = process.Terminate(endTimeout)
		})
	}
	ends.Wait()
	return errors.Join(failures...)
}

// Running returns the names of the running processes.
func (l *Launcher) Running() []string {
	var names []string
	for _, process := range l.running() {
		names = append(names, process.name)
	}
	return names
}

// ProcessIDs returns the operating system's identifiers of the running processes, by name.
func (l *Launcher) ProcessIDs() map[string]int {
	found := make(map[string]int)
	for _, process := range l.running() {
		found[process.name] = process.ID()
	}
	return found
}

func (l *Launcher) running() []*Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*Process
	for _, process := range l.processes {
		if !process.HasEnded() {
			found = append(found, process)
		}
	}
	return found
}
