package forwarder

import (
	"net/textproto"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/arbiter"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestTimeInAQueueDoesNotKeepARunFromMoving guards against a run that is left to the end of its owner's node, since the time
// for which it waited there counts as time that another run would need.
func TestTimeInAQueueDoesNotKeepARunFromMoving(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := New("ingress", nil, nil, nil, WithClock(clock))
	d := f.newDelivery(&submission{deadline: clock.Now().Add(9 * time.Second)}, fleet.Member{ID: "owner"}, 1)
	d.update(func(a arbiter.Attempt) arbiter.Attempt { return a.WithRepeatable(false) })
	nodeEnd := clock.Now().Add(6 * time.Second)
	progress := func(state string) {
		d.recordProgress(textproto.MIMEHeader{
			fleet.HeaderProgress: {state},
			fleet.HeaderEnds:     {strconv.FormatInt(nodeEnd.Sub(clock.Now()).Milliseconds(), 10)},
		})
	}
	progress(fleet.ProgressWaiting)
	is.Equal(d.next(clock.Now()), arbiter.Reserve) // 9 s are left for it, and 3.8 s for another run after 5.2 s of work
	clock.Advance(4 * time.Second)
	progress(fleet.ProgressWaiting)
	is.Equal(d.next(clock.Now()), arbiter.Wait)                     // what it would have taken by then is left for another run
	is.Equal(d.next(clock.Now().Add(time.Second)), arbiter.Reserve) // its node is about to end
	progress(fleet.ProgressDispatched)
	clock.Advance(time.Second)
	progress(fleet.ProgressDispatched)
	is.Equal(d.next(clock.Now()), arbiter.Reserve) // 1 s of work, 4 s left
}
