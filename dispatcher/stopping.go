package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// stopping knows whether the node stops, since when and until when. It is safe for concurrent use.
type stopping struct {
	clock clockwork.Clock
	// told is cancelled once the node stops.
	told context.Context
	tell context.CancelFunc
	// times is nil while the node does not stop.
	times atomic.Pointer[stopTimes]
}

// stopTimes are when a node began to stop and when it ends.
type stopTimes struct{ began, end time.Time }

func newStopping(clock clockwork.Clock) *stopping {
	s := &stopping{clock: clock}
	s.told, s.tell = context.WithCancel(context.Background())
	return s
}

// stop records that the node stops and ends at a time. The first call counts as the beginning.
func (s *stopping) stop(end time.Time) {
	times := &stopTimes{began: s.clock.Now(), end: end}
	if before := s.times.Load(); before != nil {
		times.began = before.began
	}
	s.times.Store(times)
	s.tell()
}

// end returns when the node ends; zero while it does not stop.
func (s *stopping) end() time.Time {
	if times := s.times.Load(); times != nil {
		return times.end
	}
	return time.Time{}
}

// left returns the time until the node ends, and whether it stops.
func (s *stopping) left() (left time.Duration, stops bool) {
	times := s.times.Load()
	if times == nil {
		return 0, false
	}
	return max(0, times.end.Sub(s.clock.Now())), true
}

// setEnd tells in a header when the node ends, if it stops.
func (s *stopping) setEnd(header http.Header) {
	if left, stops := s.left(); stops {
		header.Set(fleet.HeaderEnds, strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// lasted returns for how long the node has been stopping, and whether it stops.
func (s *stopping) lasted() (lasted time.Duration, stops bool) {
	times := s.times.Load()
	if times == nil {
		return 0, false
	}
	return s.clock.Since(times.began), true
}
