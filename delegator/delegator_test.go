package delegator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/delegator"
	"cowsliptally.example/cowsliptally/fleet"
)

// members returns a fleet of live nodes.
func members(count int) []fleet.Member {
	all := make([]fleet.Member, count)
	for i := range all {
		all[i] = fleet.Member{ID: fleet.NodeID(fmt.Sprint("n", i)), State: fleet.MemberAlive}
	}
	return all
}

// of returns the delegators of all members with the same table.
func of(all []fleet.Member) []*delegator.Delegator {
	delegators := make([]*delegator.Delegator, len(all))
	for i, member := range all {
		delegators[i] = delegator.New(member.ID, func() []fleet.Member { return all }, 0)
	}
	return delegators
}

// TestReadersDoNotGrowWithFleet counts the readers of fleets of many sizes, and the
// notifications that each other node gets.
func TestReadersDoNotGrowWithFleet(t *testing.T) {
	for _, count := range []int{1, 12, 27, 300, 1000} {
		is := is.New(t)
		all := members(count)
		readers, notified := 0, map[fleet.NodeID]int{}
		most := 0
		for _, d := range of(all) {
			if !d.Reads() {
				continue
			}
			readers++
			targets := d.Targets()
			most = max(most, len(targets))
			for _, target := range targets {
				notified[target.ID]++
			}
		}
		is.Equal(readers, min(count, delegator.DefaultReaders))
		for _, times := range notified {
			is.Equal(times, min(count-1, delegator.DefaultNotifiers))
		}
		is.Equal(len(notified) == count, count > 1) // readers are notified as well
		is.True(most < count)                       // no reader notifies a node twice
	}
}

// TestOthersReadWhenReadersFail marks all readers as failed in turn, as suspect or dead,
// until no node is left.
func TestOthersReadWhenReadersFail(t *testing.T) {
	is := is.New(t)
	all := members(40)
	for alive := len(all); alive > 0; {
		var reading []int
		for i, d := range of(all) {
			if all[i].State == fleet.MemberAlive && d.Reads() {
				reading = append(reading, i)
			}
		}
		is.Equal(len(reading), min(alive, delegator.DefaultReaders))
		for _, i := range reading {
			all[i].State = fleet.MemberDead
			if i%2 == 0 {
				all[i].State = fleet.MemberSuspect
			}
		}
		alive -= len(reading)
	}
}

// TestSuspectNodesAreNotified guards against a node that is only slow and would keep an
// old configuration.
func TestSuspectNodesAreNotified(t *testing.T) {
	is := is.New(t)
	all := members(60)
	for i := range all {
		if i%3 == 0 {
			all[i].State = fleet.MemberSuspect
		}
	}
	notified := map[fleet.NodeID]bool{}
	for i, d := range of(all) {
		if all[i].State == fleet.MemberAlive && d.Reads() {
			notified[all[i].ID] = true
			for _, target := range d.Targets() {
				notified[target.ID] = true
			}
		}
	}
	is.Equal(len(notified), len(all))
}

func TestNodeSettlesBeforeItReads(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	d := delegator.New("n0", func() []fleet.Member { return members(3) }, time.Second, delegator.WithClock(clock))
	is.True(!d.Reads())
	clock.Advance(time.Second)
	is.True(d.Reads())
}

// TestNodeThatDoesNotReadNotifiesFew guards against a change that all nodes tell all others.
func TestNodeThatDoesNotReadNotifiesFew(t *testing.T) {
	is := is.New(t)
	for _, d := range of(members(60)) {
		if !d.Reads() {
			is.Equal(len(d.Targets()), delegator.DefaultRelays)
		}
	}
}

// TestFurtherNodesReadWhileNoReadIsAnswered guards against a source that nobody reads because all
// nodes that are chosen by rank fail to reach it.
func TestFurtherNodesReadWhileNoReadIsAnswered(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	all := members(60)
	lastRead := time.Time{}
	var delegators []*delegator.Delegator
	for _, member := range all {
		delegators = append(delegators, delegator.New(member.ID, func() []fleet.Member { return all }, 0,
			delegator.WithClock(clock), delegator.WithLastRead(func() time.Time { return lastRead }),
			delegator.WithReaders(func() int { return 20 })))
	}
	reading := func() (count int) {
		for _, d := range delegators {
			if d.Reads() {
				count++
			}
		}
		return count
	}
	for _, wanted := range []int{20, 40, 60, 60} {
		is.Equal(reading(), wanted)
		clock.Advance(10 * time.Second)
	}
	lastRead = clock.Now()
	is.Equal(reading(), 20)
}
