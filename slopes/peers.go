package main

import (
	"fmt"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// formTimeout limits the time in which all nodes of a fleet find each other and in
	// which a death becomes visible everywhere.
	formTimeout = 60 * time.Second
	// settleTime is the wait until changes from the start of the fleet have spread.
	settleTime = 8 * time.Second
	// churnInterval is the time between two replacements of backend servers.
	churnInterval = time.Second
	leaveRuns     = 20
	deathRuns     = 5
	pollInterval  = time.Millisecond
	leaveTimeout  = 10 * time.Second
)

// peerCosts are the measurements of running fleets.
type peerCosts struct {
	restBytes, restTime, churnBytes, churnTime measurement
	p50, p99, slowest                          measurement
	deaths                                     measurement
}

// measurePeers measures what membership costs a node in fleets of several sizes,
// at rest and with one backend server replaced each second, and how long leaves and
// deaths take to reach every node.
func measurePeers(args arguments) ([]measurement, error) {
	costs := peerCosts{
		restBytes:  measurement{name: "membership at rest, sent", per: "node of the fleet", unit: "B/s"},
		restTime:   measurement{name: "membership at rest, processor", per: "node of the fleet", unit: "µs/s"},
		churnBytes: measurement{name: "one replacement a second, sent", per: "node of the fleet", unit: "B/s"},
		churnTime:  measurement{name: "one replacement a second, processor", per: "node of the fleet", unit: "µs/s"},
		p50:        measurement{name: "leave known, p50", per: "node of the fleet", unit: "ms"},
		p99:        measurement{name: "leave known, p99", per: "node of the fleet", unit: "ms"},
		slowest:    measurement{name: "leave known, max", per: "node of the fleet", unit: "ms"},
		deaths:     measurement{name: "death known everywhere, mean", per: "node of the fleet", unit: "ms"},
	}
	for _, n := range []int{8, 16, 32, 64} {
		if err := costs.measure(n, args.Span); err != nil {
			return nil, err
		}
	}
	return []measurement{
		costs.restBytes, costs.restTime, costs.churnBytes, costs.churnTime, costs.p50, costs.p99, costs.slowest,
		costs.deaths,
	}, nil
}

func (c *peerCosts) measure(n int, span time.Duration) error {
	f, err := startPeers(n)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.await(formTimeout, "every node has an entry for every other", f.formed); err != nil {
		return err
	}
	time.Sleep(settleTime)
	f.rate(&c.restBytes, &c.restTime, span, nil)
	if err := c.measureLeaves(f); err != nil {
		return err
	}
	time.Sleep(settleTime)
	generation := leaveRuns
	f.rate(&c.churnBytes, &c.churnTime, span, func() {
		node := f.peers[generation%n]
		_ = node.leave(sampleID(generation%n, generation-1))
		_ = node.announce(sampleID(generation%n, generation), "ledger")
		generation++
	})
	return c.measureDeaths(f)
}

// measureDeaths kills a few nodes one after another and records the time until all
// others see each as dead.
func (c *peerCosts) measureDeaths(f *peerFleet) error {
	nodes, total := float64(len(f.peers)), time.Duration(0)
	for range deathRuns {
		last := len(f.peers) - 1
		killed := f.peers[last]
		f.peers = f.peers[:last]
		killed.kill()
		start := time.Now()
		if err := f.await(formTimeout, "every node sees a killed node as dead", func() bool { return f.seenDead(killed) }); err != nil {
			return err
		}
		total += time.Since(start)
	}
	c.deaths.add(nodes, float64(total.Milliseconds())/deathRuns)
	return nil
}

// seenDead reports whether every node sees another as dead.
func (f *peerFleet) seenDead(killed *peer) bool {
	for _, p := range f.peers {
		if m, _ := p.roster.Member(killed.self.ID); m.State != fleet.MemberDead {
			return false
		}
	}
	return true
}

// rate measures bytes and processor time per second and node; change, if not nil,
// runs each churnInterval.
func (f *peerFleet) rate(bytes, processor *measurement, span time.Duration, change func()) {
	nodes, seconds := float64(len(f.peers)), span.Seconds()
	bytesBefore, timeBefore := f.bytes.Load(), processorTime()
	for start := time.Now(); time.Since(start) < span; time.Sleep(churnInterval) {
		if change != nil {
			change()
		}
	}
	bytes.add(nodes, float64(f.bytes.Load()-bytesBefore)/nodes/seconds)
	used := processorTime() - timeBefore
	processor.add(nodes, float64(used.Microseconds())/nodes/seconds)
}

// measureLeaves makes backend servers leave and records the time until each node
// sees the leave.
func (c *peerCosts) measureLeaves(f *peerFleet) error {
	var delays []float64
	for run := range leaveRuns {
		node := f.peers[run%len(f.peers)]
		id := sampleID(run%len(f.peers), run)
		if err := node.announce(id, "ledger"); err != nil {
			return err
		}
		visible := func() bool { return f.count(id, fleet.Backend.AcceptsRequests) == len(f.peers) }
		if err := f.await(leaveTimeout, "every node has the entry of a backend server", visible); err != nil {
			return err
		}
		if err := node.leave(id); err != nil {
			return err
		}
		found, err := f.leaveDelays(id)
		if err != nil {
			return err
		}
		delays = append(delays, found...)
	}
	slices.Sort(delays)
	nodes := float64(len(f.peers))
	c.p50.add(nodes, delays[len(delays)/2])
	c.p99.add(nodes, delays[len(delays)*99/100])
	c.slowest.add(nodes, delays[len(delays)-1])
	return nil
}

// leaveDelays returns the milliseconds until each node sees that a backend server
// takes no more work.
func (f *peerFleet) leaveDelays(id fleet.BackendID) ([]float64, error) {
	var delays []float64
	start := time.Now()
	missing := slices.Clone(f.peers)
	for len(missing) > 0 {
		if time.Since(start) > leaveTimeout {
			return nil, fmt.Errorf("%d nodes do not see after %s that %q left", len(missing), leaveTimeout, id)
		}
		missing = slices.DeleteFunc(missing, func(p *peer) bool {
			b, _ := p.roster.Backend(id)
			if b.AcceptsRequests() {
				return false
			}
			delays = append(delays, float64(time.Since(start).Microseconds())/1000)
			return true
		})
		time.Sleep(pollInterval)
	}
	return delays, nil
}

// count returns the number of nodes that have a backend server for which wanted
// returns true.
func (f *peerFleet) count(id fleet.BackendID, wanted func(fleet.Backend) bool) int {
	count := 0
	for _, p := range f.peers {
		if b, found := p.roster.Backend(id); found && wanted(b) {
			count++
		}
	}
	return count
}

// formed reports whether every node has an entry for every member of the fleet.
func (f *peerFleet) formed() bool {
	for _, p := range f.peers {
		if members, _ := p.roster.Size(); members < len(f.peers) {
			return false
		}
	}
	return true
}

// await polls until a condition holds.
func (f *peerFleet) await(timeout time.Duration, what string, condition func() bool) error {
	for start := time.Now(); !condition(); time.Sleep(pollInterval) {
		if time.Since(start) > timeout {
			return fmt.Errorf("not within %s: %s", timeout, what)
		}
	}
	return nil
}
