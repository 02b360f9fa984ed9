package sampler_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/sampler"
)

const process = 7

// rig is a sampler of one process with made-up threads.
type rig struct {
	t         *testing.T
	is        *is.I
	directory string
	clock     *clockwork.FakeClock
	sampler   *sampler.Sampler
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, is: is.New(t), directory: t.TempDir(), clock: clockwork.NewFakeClock()}
	processes := func() map[string]int { return map[string]int{"node": process} }
	r.sampler = sampler.New(processes, sampler.WithClock(r.clock), sampler.WithDirectory(r.directory))
	return r
}

// sample has each thread run and wait for a time in all, and takes a sample.
func (r *rig) sample(threads map[int][2]time.Duration) {
	r.t.Helper()
	for id, times := range threads {
		directory := filepath.Join(r.directory, fmt.Sprint(process), "task", fmt.Sprint(id))
		r.is.NoErr(os.MkdirAll(directory, 0o755))
		content := fmt.Sprintf("%d %d 3\n", times[0].Nanoseconds(), times[1].Nanoseconds())
		r.is.NoErr(os.WriteFile(filepath.Join(directory, "schedstat"), []byte(content), 0o600))
	}
	r.sampler.Sample()
}

// TestUsageTellsWaitingFromBeingIdle guards against a finding that takes a process without processor time for an idle one,
// or counts times outside the request.
func TestUsageTellsWaitingFromBeingIdle(t *testing.T) {
	r := newRig(t)
	const step = 100 * time.Millisecond
	began := r.clock.Now()
	r.sample(map[int][2]time.Duration{7: {time.Second, 5 * time.Second}})
	r.clock.Advance(step)
	r.sample(map[int][2]time.Duration{7: {time.Second, 5 * time.Second}})
	r.clock.Advance(4 * step)
	r.sample(map[int][2]time.Duration{7: {time.Second + step, 5*time.Second + 2*step}, 8: {step, step}})

	idle := r.sampler.Usage("node", began, began.Add(step))
	r.is.Equal(idle, sampler.Usage{Span: step, Gap: step})
	starved := r.sampler.Usage("node", began.Add(2*step), began.Add(3*step))
	r.is.Equal(starved, sampler.Usage{Span: 4 * step, Gap: 4 * step, Ran: 2 * step, Waited: 3 * step, Longest: 2 * step})
	r.is.Equal(starved.String(), "in 400ms ran 200ms, waited 300ms for a processor, one thread up to 200ms between samples up to 400ms apart")
	r.is.Equal(r.sampler.Names(), []string{"node"})
	r.is.Equal(r.sampler.Usage("other", began, r.clock.Now()).String(), "not sampled")
}

// TestThreadsThatEndAddNothing guards against negative times once a thread or its process has ended.
func TestThreadsThatEndAddNothing(t *testing.T) {
	r := newRig(t)
	began := r.clock.Now()
	r.sample(map[int][2]time.Duration{7: {time.Second, time.Second}, 8: {time.Second, time.Second}})
	for _, ended := range []string{"7/task/8", "7"} {
		r.is.NoErr(os.RemoveAll(filepath.Join(r.directory, ended)))
		r.clock.Advance(time.Second)
		r.sample(nil)
	}
	r.is.Equal(r.sampler.Usage("node", began, r.clock.Now()), sampler.Usage{Span: 2 * time.Second, Gap: time.Second})
}

// TestRunSamplesThisProcess guards against a format of the kernel's figures that cannot be read.
func TestRunSamplesThisProcess(t *testing.T) {
	is := is.New(t)
	processes := func() map[string]int { return map[string]int{"test": os.Getpid()} }
	s := sampler.New(processes)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 350*time.Millisecond)
	defer cancel()
	s.Run(ctx)
	s.Sample()
	usage := s.Usage("test", began, time.Now())
	is.True(usage.Span > 0)
	is.True(usage.Ran > 0)
}
