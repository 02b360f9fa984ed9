package sampler

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// interval is the time between two samples.
	interval = 100 * time.Millisecond
	// processFiles is where Linux shows its processes.
	processFiles = "/proc"
)

// Processes returns the identifiers of the processes to sample, by name.
type Processes func() map[string]int

// Sampler samples processes until it is stopped. It is safe for concurrent use.
type Sampler struct {
	processes Processes
	clock     clockwork.Clock
	directory string

	mu      sync.Mutex
	samples map[string][]sample
	// failed is set after the first failure to read, which is logged.
	failed bool
}

// sample holds the threads of a process at a moment.
type sample struct {
	at      time.Time
	process int
	threads map[string]thread
}

// New returns a Sampler. Run has it sample.
func New(processes Processes, options ...Option) *Sampler {
	s := &Sampler{
		processes: processes, clock: clockwork.NewRealClock(), directory: processFiles,
		samples: make(map[string][]sample),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Run samples until ctx is done.
func (s *Sampler) Run(ctx context.Context) {
	ticker := s.clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.Sample()
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// Sample takes one sample of each process.
func (s *Sampler) Sample() {
	for name, process := range s.processes() {
		threads, err := readThreads(s.directory, process)
		s.mu.Lock()
		if err == nil {
			s.samples[name] = append(s.samples[name], sample{at: s.clock.Now(), process: process, threads: threads})
		} else if !s.failed {
			s.failed = true
			slog.Warn("cannot sample a process", "name", name, "error", err)
		}
		s.mu.Unlock()
	}
}

// Names returns the names of all processes that were sampled, sorted.
func (s *Sampler) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.samples))
}

// Usage returns what a process used from the last sample before a moment to the first one after another.
func (s *Sampler) Usage(name string, from, until time.Time) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var usage Usage
	taken := s.samples[name]
	for i := 1; i < len(taken); i++ {
		earlier, later := taken[i-1], taken[i]
		if later.at.After(from) && earlier.at.Before(until) {
			usage.add(earlier, later)
		}
	}
	return usage
}

// add adds the time between two successive samples.
func (u *Usage) add(earlier, later sample) {
	gap := later.at.Sub(earlier.at)
	u.Span += gap
	u.Gap = max(u.Gap, gap)
	for id, now := range later.threads {
		var before thread
		if earlier.process == later.process {
			before = earlier.threads[id]
		}
		waited := now.waited - before.waited
		u.Ran += now.ran - before.ran
		u.Waited += waited
		u.Longest = max(u.Longest, waited)
	}
}
