// Package spooler writes log lines in a goroutine of its own, so that nobody waits for
// the output. Lines beyond a rate, or while the output does not keep up, are counted
// and left out.
package spooler

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"cowsliptally.example/cowsliptally/ring"
)

const (
	// capacity is the number of lines that wait for the output.
	capacity = 1024
	// linesPerSecond and burst bound the volume: about 50 KB a second at 250 bytes a line.
	linesPerSecond = 200
	burst          = 1000
	// reportSpacing is the time between two lines that tell how many were left out.
	reportSpacing = time.Second
)

// Spooler is an io.Writer that never blocks. Each call to Write is one line.
type Spooler struct {
	out     io.Writer
	clock   clockwork.Clock
	lines   *ring.Ring[[]byte]
	limiter *rate.Limiter
	// dropped counts the lines that were left out, reported those that a report told of.
	dropped  metrics.Counter
	reported int64
}

// New returns a spooler before an output; Run writes. It counts the lines that are left
// out in the registry, as log.dropped.
func New(out io.Writer, clock clockwork.Clock, registry metrics.Registry) *Spooler {
	return &Spooler{
		out:     out,
		clock:   clock,
		lines:   ring.New[[]byte](capacity),
		limiter: rate.NewLimiter(linesPerSecond, burst),
		dropped: metrics.GetOrRegisterCounter("log.dropped", registry),
	}
}

// Start returns a spooler that writes until stop is called, which writes what is left.
func Start(out io.Writer, clock clockwork.Clock, registry metrics.Registry) (s *Spooler, stop func() error) {
	s = New(out, clock, registry)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return s, func() error {
		cancel()
		return <-ended
	}
}

// Write takes a line, or leaves it out. It never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	if !s.limiter.AllowN(s.clock.Now(), 1) || !s.lines.Push(append([]byte(nil), line...)) {
		s.dropped.Inc(1)
	}
	return len(line), nil
}

// Run writes lines until ctx is done and then what is left.
func (s *Spooler) Run(ctx context.Context) error {
	reported := s.clock.Now()
	for {
		line, found := s.lines.Pop(ctx)
		if !found {
			return s.flush()
		}
		if _, err := s.out.Write(line); err != nil {
			return err
		}
		if now := s.clock.Now(); now.Sub(reported) >= reportSpacing {
			reported = now
			if err := s.report(); err != nil {
				return err
			}
		}
	}
}

// flush writes the lines that wait and how many were left out.
func (s *Spooler) flush() error {
	done, cancel := context.WithCancel(context.Background())
	defer cancel()
	for s.lines.Len() > 0 {
		line, _ := s.lines.Pop(done)
		if _, err := s.out.Write(line); err != nil {
			return err
		}
	}
	return s.report()
}

// report tells how many lines were left out since the last report.
func (s *Spooler) report() error {
	total := s.dropped.Count()
	dropped := total - s.reported
	if dropped == 0 {
		return nil
	}
	s.reported = total
	_, err := fmt.Fprintf(s.out, "level=warn msg=dropped lines=%d\n", dropped)
	return err
}
