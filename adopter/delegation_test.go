package adopter_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/adopter"
	"cowsliptally.example/cowsliptally/fleet"
)

// reads is a Delegator.
type reads struct{ atomic.Bool }

func (r *reads) Reads() bool { return r.Load() }

// TestNodeThatDoesNotReadHearsFromOthers has a node leave the source to others, then read it
// itself. It passes on each change once.
func TestNodeThatDoesNotReadHearsFromOthers(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	others := &peers{documents: map[string]adopter.Document{"10.0.0.2:1": document(1)}}
	var reading reads
	var notified atomic.Int32
	a, s := start(t, adopter.WithClock(clock), adopter.WithPeers(others, func() []fleet.Member { return nil }),
		adopter.WithDelegator(&reading, func(context.Context) { notified.Add(1) }))
	a.RecordPeerRevision(fleet.Member{PeerAddress: "10.0.0.2:1"}, 1)
	waitFor(t, func() bool { return a.Document().Revision == 1 && notified.Load() == 1 })
	is.NoErr(clock.BlockUntilContext(context.Background(), 1)) // it waits instead of reading
	select {
	case s.next <- document(2):
		t.Fatal("the source is read")
	default:
	}
	reading.Store(true)
	clock.Advance(time.Second)
	s.next <- document(2)
	waitFor(t, func() bool { return a.Document().Revision == 2 && notified.Load() == 2 })
}

// answering is a source that never has a document; a test sets when it last answered.
type answering struct {
	source
	answered atomic.Int64
}

func (s *answering) LastAnswer() time.Time { return time.UnixMilli(s.answered.Load()) }

// events is a Recorder.
type events struct {
	mu      sync.Mutex
	reasons []string
}

func (e *events) Record(event fleet.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reasons = append(e.reasons, event.Reason)
}

func (e *events) last() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reasons) == 0 {
		return ""
	}
	return e.reasons[len(e.reasons)-1]
}

// TestSourceThatNobodyReadsIsLogged guards against an outage of the source that leaves no line in
// the log of any node, as the reads wait. A read by another node is enough.
func TestSourceThatNobodyReadsIsLogged(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := &answering{source: source{next: make(chan any)}}
	s.answered.Store(clock.Now().UnixMilli())
	recorded := &events{}
	a := adopter.New("n1", s, adopter.WithClock(clock), adopter.WithRecorder(recorded))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = a.Run(ctx) })
	defer running.Wait()
	defer cancel()
	advance := func(seconds int) {
		for range seconds {
			is.NoErr(clock.BlockUntilContext(ctx, 1))
			clock.Advance(time.Second)
		}
	}
	advance(8)
	a.RecordPeerRead(clock.Now())
	advance(9)
	is.Equal(recorded.last(), "")
	advance(2)
	waitFor(t, func() bool { return recorded.last() == "read by no node that this one knows of" })
	a.RecordPeerRead(clock.Now())
	advance(1)
	waitFor(t, func() bool { return recorded.last() == "read again by a node" })
	is.Equal(a.LastRead(), clock.Now().Add(-time.Second))
}
