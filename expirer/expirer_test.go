package expirer

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

const address = "10.0.0.1:80"

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func newExpirer() (*Expirer, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	return New(WithClock(clock)), clock
}

// TestConnectionsExpireAfterAReset guards against a limit that is too high to help, or so low that
// connections in steady use are replaced.
func TestConnectionsExpireAfterAReset(t *testing.T) {
	for name, tc := range map[string]struct {
		answered      []int
		reset, after  int
		dropped       bool
		kept, expired int
	}{
		"nothing known":           {reset: 350, dropped: true, kept: 99, expired: 100},
		"shorter times lasted":    {answered: []int{20, 200, 150}, reset: 350, dropped: true, kept: 199, expired: 200},
		"margin":                  {answered: []int{398}, reset: 400, dropped: true, kept: 299, expired: 300},
		"longer times lasted":     {answered: []int{5000}, reset: 350, dropped: true, kept: 99, expired: 100},
		"in steady use":           {reset: 99, dropped: false, kept: 8000, expired: 0},
		"failed after some work":  {reset: 350, after: 11, dropped: false, kept: 8000, expired: 0},
		"reset after a busy time": {reset: 350, after: 10, dropped: true, kept: 99, expired: 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, clock := newExpirer()
			for _, idle := range tc.answered {
				e.RecordAnswer(address, ms(idle))
			}
			is.Equal(e.RecordReset(address, ms(tc.reset), ms(tc.after)), tc.dropped)
			is.True(!e.IsExpired(address, ms(tc.kept)))
			if tc.expired > 0 {
				is.True(e.IsExpired(address, ms(tc.expired)))
				is.True(!e.IsExpired("10.0.0.2:80", ms(tc.expired)))
				clock.Advance(minHold - 1)
				is.True(e.IsExpired(address, ms(tc.expired)))
				clock.Advance(1)
				is.True(!e.IsExpired(address, ms(tc.expired)))
			}
		})
	}
}

// TestResetsOfOneMomentCountOnce guards against one failure of a server, under many requests, that
// replaces connections for a minute, and against a limit that a later reset raises.
func TestResetsOfOneMomentCountOnce(t *testing.T) {
	is := is.New(t)
	e, clock := newExpirer()
	e.RecordAnswer(address, ms(200))
	for idle := 350; idle < 4000; idle += 350 {
		e.RecordReset(address, ms(idle), 0)
	}
	is.True(!e.IsExpired(address, ms(199)))
	is.True(e.IsExpired(address, ms(200)))
	e.RecordReset(address, ms(150), 0)
	is.True(e.IsExpired(address, ms(100)))
	clock.Advance(minHold)
	is.True(!e.IsExpired(address, ms(8000)))
}

// TestRepeatedResetsCountLonger guards against a server that costs a request each few seconds, and
// against connections that are replaced for long after the server keeps them again.
func TestRepeatedResetsCountLonger(t *testing.T) {
	is := is.New(t)
	e, clock := newExpirer()
	holds := func() (held time.Duration) {
		e.RecordReset(address, ms(400), 0)
		for e.IsExpired(address, ms(400)) {
			clock.Advance(time.Second)
			held += time.Second
		}
		return held
	}
	for _, seconds := range []time.Duration{8, 16, 32, 64, 64} {
		is.Equal(holds(), seconds*time.Second)
		e.RecordAnswer(address, ms(399)) // no refutation: 400 ms may still be too long
	}
	e.RecordReset(address, ms(400), 0)
	e.RecordAnswer(address, ms(400)) // sent before the reset
	is.True(e.IsExpired(address, ms(400)))
	clock.Advance(maxHold)
	e.RecordAnswer(address, ms(400))
	is.Equal(holds(), minHold)
	clock.Advance(maxHold + time.Second)
	is.Equal(holds(), minHold) // nothing was reset for a minute
}

// TestRequestsOfOneMomentWaitForTheFirst guards against many requests that are sent over dropped
// connections before the first reset is seen, and against a wait longer than one trial.
func TestRequestsOfOneMomentWaitForTheFirst(t *testing.T) {
	is := is.New(t)
	e, clock := newExpirer()
	is.Equal(e.Begin(address, ms(350)), time.Duration(0))
	clock.Advance(DefaultTrial / 2)
	for _, idle := range []int{100, 350, 5000} {
		is.Equal(e.Begin(address, ms(idle)), DefaultTrial/2)
	}
	is.Equal(e.Begin(address, ms(99)), time.Duration(0))
	is.Equal(e.Begin("10.0.0.2:80", ms(350)), time.Duration(0))
	clock.Advance(DefaultTrial / 2)
	is.Equal(e.Begin(address, ms(350)), time.Duration(0))
	e.RecordReset(address, ms(350), 0)
	is.Equal(e.Begin(address, ms(350)), time.Duration(0)) // expired, so nothing is to be learnt
	is.Equal(e.Begin(address, ms(99)), time.Duration(0))
}

// TestAddressesAreBounded guards against histories that take memory without bound.
func TestAddressesAreBounded(t *testing.T) {
	is := is.New(t)
	e, _ := newExpirer()
	for i := range 10 * maxAddresses {
		e.RecordReset(fmt.Sprint(i), ms(400), 0)
	}
	is.Equal(e.histories.Len(), maxAddresses)
}
