package adopter_test

import (
	"context"
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
