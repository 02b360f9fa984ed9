// Package spooler writes log lines in a goroutine of its own, so that logging never
// blocks. Lines beyond a rate, or while the output does not keep up, are dropped and
// counted.
package spooler

import (
	"context"
	"fmt"
	"io"
	"sync"
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
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
	// stopTime bounds the writing of the queued lines at the end, as a reader may have stopped
	// reading.
	stopTime = 200 * time.Millisecond
)

// Spooler is an io.Writer that never blocks. Each call to Write is one line.
type Spooler struct {
	out     io.Writer
	clock   clockwork.Clock
	lines   *ring.Ring[[]byte]
	limiter *rate.Limiter
	// dropped counts the dropped lines, reported those that are in a report already.
	dropped  metrics.Counter
	reported int64
}

// New returns a spooler of an output; Run writes the lines. Dropped lines are counted in
// the registry as log.dropped.
func New(out io.Writer, clock clockwork.Clock, registry metrics.Registry) *Spooler {
	return &Spooler{
		out:     out,
		clock:   clock,
		lines:   ring.New[[]byte](capacity),
		limiter: rate.NewLimiter(linesPerSecond, burst),
		dropped: metrics.GetOrRegisterCounter("log.dropped", registry),
	}
}

// Start returns a running spooler; stop writes the queued lines and ends it. It gives up
// after 0.2 s, as the output may take nothing more, and may be called several times.
func Start(out io.Writer, clock clockwork.Clock, registry metrics.Registry) (s *Spooler, stop func() error) {
	s = New(out, clock, registry)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return s, sync.OnceValue(func() error {
		cancel()
		select {
		case err := <-ended:
			return err
		case <-clock.After(stopTime):
			return fmt.Errorf("the output took none of the last %d lines", s.lines.Len())
		}
	})
}

// Write queues a line or drops it. It never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	if !s.limiter.AllowN(s.clock.Now(), 1) || !s.lines.Push(append([]byte(nil), line...)) {
		s.dropped.Inc(1)
	}
	return len(line), nil
}

// Run writes lines until ctx is done, then the queued ones.
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
		if now := s.clock.Now(); now.Sub(reported) >= reportInterval {
			reported = now
			if err := s.report(); err != nil {
				return err
			}
		}
	}
}

// flush writes the queued lines and a report.
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

// report writes how many lines were dropped since the last report.
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
