package registrar_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/registrar"
)

// TestShortLeaseExpiresInTime guards against leases that expire late because they are
// checked too rarely.
func TestShortLeaseExpiresInTime(t *testing.T) {
	for _, lease := range []time.Duration{40 * time.Millisecond, 100 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := registrar.New("n1", "z", registrar.WithClock(clockwork.NewRealClock()), registrar.WithLease(lease))
			c := &timedChanges{}
			r.Watch(c)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = r.Run(ctx) }()
			_, err := r.Announce(ctx, announcement(ready, 0))
			is.NoErr(err)
			start := time.Now()
			time.Sleep(2 * lease)
			synctest.Wait()
			is.Equal(c.state, fleet.BackendGone)
			is.True(c.at.Sub(start) >= lease)
			is.True(c.at.Sub(start) <= lease+lease/4)
			cancel()
		})
	}
}

// timedChanges records the last change and its time.
type timedChanges struct {
	state fleet.BackendState
	at    time.Time
}

func (c *timedChanges) BackendChanged(b fleet.Backend) { c.state, c.at = b.State, time.Now() }

// reasons is a Journal that records the reasons of changes.
type reasons []string

func (r *reasons) Record(event fleet.Event) { *r = append(*r, event.Reason) }

// TestReasonTellsCrashFromReplacement ends a backend server in both ways.
func TestReasonTellsCrashFromReplacement(t *testing.T) {
	is := is.New(t)
	var got reasons
	r, _, _ := newRegistrar(registrar.WithJournal(&got))
	_, err := r.Announce(context.Background(), announcement(ready, 0))
	is.NoErr(err)
	r.ReportReplaced("b1")
	is.Equal(got[len(got)-1], "gone: replaced by a newer start")
	_, err = r.Announce(context.Background(), announcement(ready, 0))
	is.NoErr(err)
	r.ReportCrash("b1")
	is.Equal(got[len(got)-1], "gone: connections died")
}
