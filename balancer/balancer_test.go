package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/fleet"
)

const picks = 20_000

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// limits holds the limited shares of some backend servers.
type limits map[fleet.BackendID]float64

func (l limits) Share(id fleet.BackendID) float64 {
	if share, found := l[id]; found {
		return share
	}
	return 1
}

func (l limits) Health(id fleet.BackendID) fleet.Health {
	switch l.Share(id) {
	case 0:
		return fleet.Ejected
	case 1:
		return fleet.Healthy
	default:
		return fleet.Degraded
	}
}

func candidates(zones ...fleet.Zone) []fleet.Backend {
	var list []fleet.Backend
	for i, zone := range zones {
		id := fleet.BackendID(fmt.Sprint("b", i))
		list = append(list, fleet.Backend{ID: id, Service: "s", Zone: zone, Slots: 4, State: fleet.BackendReady})
	}
	return list
}

// shares picks many times and returns the parts of a fair share.
func shares(b *balancer.Balancer, list []fleet.Backend, idempotent bool) map[fleet.BackendID]float64 {
	counts := map[fleet.BackendID]float64{}
	for range picks {
		if chosen, found := b.Pick("s", list, nil, idempotent); found {
			counts[chosen.ID] += float64(len(list)) / picks
		}
	}
	return counts
}

func TestLimitedShareIsKeptAndIdempotentOnly(t *testing.T) {
	is := is.New(t)
	list := candidates("a", "a", "a", "a", "a")
	b := balancer.New(balancer.WithSeed(1), balancer.WithHealthSource(limits{"b0": 0.02, "b1": 0}))
	got := shares(b, list, true)
	is.True(got["b0"] > 0.019 && got["b0"] < 0.021)
	is.Equal(got["b1"], 0.0)
	is.Equal(shares(b, list, false)["b0"], 0.0)
}

func TestDegradedServesWhenOthersAreFull(t *testing.T) {
	is := is.New(t)
	list := candidates("a", "a", "a")
	b := balancer.New(balancer.WithSeed(1), balancer.WithHealthSource(limits{"b0": 0.02, "b2": 0}))
	for range 4 {
		b.Begin("b1")
	}
	chosen, found := b.Pick("s", list, nil, false)
	is.True(found)
	is.Equal(chosen.ID, fleet.BackendID("b0"))
	_, found = b.Pick("s", list, []fleet.BackendID{"b0", "b1"}, true)
	is.Equal(found, false)
}

func TestOwnZoneFirstThenSpillOver(t *testing.T) {
	is := is.New(t)
	list := candidates("a", "a", "b", "b")
	b := balancer.New(balancer.WithSeed(1), balancer.WithZone("a"))
	got := shares(b, list, true)
	is.Equal(got["b2"]+got["b3"], 0.0)
	for range 3 {
		b.Begin("b0")
		b.Begin("b1")
	}
	got = shares(b, list, true)
	is.True(got["b2"]+got["b3"] > 2)
}

func TestFastErrorsAttractNoTraffic(t *testing.T) {
	is := is.New(t)
	c := &clock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	list := candidates("a", "a", "a", "a")
	b := balancer.New(balancer.WithSeed(1), balancer.WithClock(c))
	counts := map[fleet.BackendID]int{}
	var busy []fleet.BackendID
	for range picks {
		c.now = c.now.Add(10 * time.Millisecond)
		chosen, _ := b.Pick("s", list, nil, true)
		counts[chosen.ID]++
		b.Begin(chosen.ID)
		if chosen.ID == "b0" {
			b.Fail(chosen.ID)
			continue
		}
		busy = append(busy, chosen.ID)
		if len(busy) > 6 {
			b.End(busy[0])
			busy = busy[1:]
		}
	}
	is.True(counts["b0"] < picks/4)
}

func TestReportsAreUsedUntilTheyAreStale(t *testing.T) {
	is := is.New(t)
	c := &clock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	list := candidates("a", "a")
	b := balancer.New(balancer.WithSeed(1), balancer.WithClock(c))
	b.Report(fleet.Load{Backend: "b0", InFlight: 4, Slots: 4, At: c.now})
	is.Equal(shares(b, list, true)["b0"], 0.0)
	c.now = c.now.Add(time.Second)
	is.True(shares(b, list, true)["b0"] > 0.9)
}

// TestLimitKeepsRequestsAwayUntilItAllowsOne reports a limit, and then, as after a restart of
// the owner, none that is known.
func TestLimitKeepsRequestsAwayUntilItAllowsOne(t *testing.T) {
	is := is.New(t)
	c := &clock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	list := candidates("a", "a")
	b := balancer.New(balancer.WithSeed(1), balancer.WithClock(c))
	b.Report(fleet.Load{Backend: "b0", Slots: 4, Limit: "0.5", Pause: 2 * time.Second, At: c.now})
	b.Report(fleet.Load{Backend: "b1", Slots: 4, InFlight: 3, Queued: 3, At: c.now})
	c.now = c.now.Add(900 * time.Millisecond)
	is.Equal(shares(b, list, true)["b0"], 0.0) // a short queue is shorter than the pause
	c.now = c.now.Add(1100 * time.Millisecond)
	is.True(shares(b, list, true)["b0"] > 0.9)
	is.Equal(b.Limit("b0"), "0.5")
	b.Report(fleet.Load{Backend: "b0", Slots: 4, At: c.now})
	is.Equal(b.Limit("b0"), "0.5")
	b.Report(fleet.Load{Backend: "b0", Slots: 4, Limit: fleet.LimitNone, At: c.now})
	is.Equal(b.Limit("b0"), fleet.LimitNone)
	is.Equal(b.Limit("b1"), "")
}

func TestSlowStart(t *testing.T) {
	is := is.New(t)
	c := &clock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	list := candidates("a", "a", "a")
	list[0].State = fleet.BackendStarting
	b := balancer.New(balancer.WithSeed(1), balancer.WithClock(c))
	is.True(shares(b, list, true)["b0"] < 0.2)
	warm := candidates("a", "a", "a")
	is.True(shares(b, warm, true)["b0"] < 0.2)
	c.now = c.now.Add(11 * time.Second)
	is.True(shares(b, warm, true)["b0"] > 0.9)
}

func BenchmarkPick(b *testing.B) {
	list := candidates("a", "a", "a", "b", "b", "b", "c", "c", "c", "c", "c", "c")
	picker := balancer.New(balancer.WithSeed(1), balancer.WithZone("a"))
	b.ReportAllocs()
	for range b.N {
		picker.Pick("s", list, nil, true)
	}
}
