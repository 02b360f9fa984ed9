package admitter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
)

// The load of the play: 38 of 48 nodes are stopped within seven seconds and start again, while
// callers of the others send 260 requests a second, of which one in thirty takes seven times
// as long as usual. The times of a stop are those of a grace period of six seconds.
const (
	stopPlayOwners    = 48
	stopPlaySlots     = 11
	stopPlayPerSecond = 260
	stopPlayStep      = 5 * time.Millisecond
	stopPlayLength    = 40 * time.Second
	stopPlayStops     = 38
	stopsFrom         = 20 * time.Second
	stopsAtOnce       = 6
	stopsEvery        = 600 * time.Millisecond
	nodeEnd           = 5100 * time.Millisecond
	nodeCut           = 5400 * time.Millisecond
	callersMoved      = 2700 * time.Millisecond
	callersRefused    = 3200 * time.Millisecond
	nodeRestart       = 750 * time.Millisecond
	// stopAgain is the time from the start of a node that was stopped until it is told to stop again, in
	// plays in which it is.
	stopAgain = 100 * time.Millisecond
	// requestTarget is the time in which callers want their answers.
	requestTarget = 2 * time.Second
	// usedWindow and usedShare are the time in which most healthy backend servers must get requests.
	usedWindow = 2 * time.Second
	usedShare  = 0.7
	// stopPlayMove is the time before the end of an owner's node at which requests move to another owner at the latest.
	stopPlayMove = 700 * time.Millisecond
	// stopPlayNoWait is the number of owners that are asked for a slot that is free at once.
	stopPlayNoWait = 3
)

// slotRequest is a request in a slot.
type slotRequest struct {
	kind  fleet.RequestKind
	end   time.Duration
	begun time.Duration
	late  bool
	// noWait is set if other owners might have had a free slot.
	noWait bool
}

// stoppingOwner is a backend server and its node.
type stoppingOwner struct {
	admitter *admitter.Admitter
	running  map[admitter.ID]slotRequest
	// stop is when the node is told to stop; 0 for never.
	stop time.Duration
	// startAt is when the node that ended serves again.
	startAt time.Duration
	retired bool
	closed  bool
	// restarted is set once the node has started again.
	restarted bool
	got       []time.Duration
}

// stopPlay plays the load in virtual time.
type stopPlay struct {
	keep bool
	// again is set when nodes that have been stopped are told to stop once more after their start.
	again bool
	// deadline is that of all requests.
	deadline time.Duration
	random   *rand.Rand
	owners   []*stoppingOwner
	last     admitter.ID
	// unserved counts the requests that no owner took; cutOnce and cutRepeatable those that were
	// cut when their node ended, and that began after it was told to stop.
	unserved, cutOnce, cutRepeatable int
	// cutTooLate counts the repeatable ones among these that had less time left than they had taken when they had to
	// move, though other owners might have had a free slot.
	cutTooLate int
}

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func newStoppingOwner() *stoppingOwner {
	return &stoppingOwner{admitter: admitter.New(stopPlaySlots), running: map[admitter.ID]slotRequest{}}
}

// playStopping plays the load; with keep, stopping owners go on as they do now, and else they
// refuse everything at once. With again, the nodes are told to stop once more after their start.
func playStopping(seed uint64, keep, again bool, deadline time.Duration) *stopPlay {
	p := &stopPlay{keep: keep, again: again, deadline: deadline, random: rand.New(rand.NewPCG(seed, 11))}
	for range stopPlayOwners {
		p.owners = append(p.owners, newStoppingOwner())
	}
	for i, n := range p.random.Perm(stopPlayOwners)[:stopPlayStops] {
		p.owners[n].stop = stopsFrom + time.Duration(i/stopsAtOnce)*stopsEvery
	}
	for now := time.Duration(0); now < stopPlayLength; now += stopPlayStep {
		for _, o := range p.owners {
			p.advance(o, now)
		}
		for range p.arrivals() {
			p.send(now)
		}
	}
	return p
}

// arrivals returns the number of requests in a step.
func (p *stopPlay) arrivals() (count int) {
	for left := p.random.ExpFloat64(); left < stopPlayPerSecond*stopPlayStep.Seconds(); left += p.random.ExpFloat64() {
		count++
	}
	return count
}

// advance ends requests, also at their deadline, and takes a stopping node through its shutdown.
func (p *stopPlay) advance(o *stoppingOwner, now time.Duration) {
	for id, r := range o.running {
		switch {
		case r.end <= now:
			delete(o.running, id)
			o.admitter.Done(id, r.kind, r.end-r.begun, at(now))
		case r.begun+p.deadline <= now:
			delete(o.running, id)
			o.admitter.Abandon(id, at(now))
		}
	}
	if o.startAt > 0 {
		if now >= o.startAt {
			p.start(o, now)
		}
		return
	}
	if o.stop == 0 || now < o.stop {
		return
	}
	since := now - o.stop
	switch {
	case since == 0 && !p.keep:
		o.closed = true
		o.admitter.Close()
	case since == 0:
		o.admitter.Stop(at(o.stop+nodeEnd), at(o.stop+nodeCut), at(now))
	case since >= callersMoved && !o.retired && p.keep:
		o.retired = true
		o.admitter.Retire(at(now))
	}
	if since >= callersRefused && !o.closed && len(o.running) <= 1 {
		o.closed = true
		o.admitter.Close()
	}
	if since < callersRefused || len(o.running) > 0 && since < nodeCut {
		return
	}
	for _, r := range o.running {
		switch {
		case !r.late:
		case r.kind == "booking":
			p.cutOnce++
		default:
			p.cutRepeatable++
			move := now - stopPlayMove
			if left := r.begun + p.deadline - move; r.noWait && left < move-r.begun {
				p.cutTooLate++
			}
		}
	}
	clear(o.running)
	o.startAt = now + nodeRestart
}

// start starts a node that has ended; it knows nothing of the requests before.
func (p *stopPlay) start(o *stoppingOwner, now time.Duration) {
	before := *o
	*o = *newStoppingOwner()
	o.got, o.restarted = before.got, true
	if p.again && !before.restarted {
		o.stop = now + stopAgain
	}
}

// send sends a request to the idler of two owners, and to others while it is refused. Only the first ones are
// asked for a slot that is free at once.
func (p *stopPlay) send(now time.Duration) {
	kind, work := fleet.RequestKind("booking"), 640*time.Millisecond
	if p.random.Float64() < 0.35 {
		kind, work = "lookup", 490*time.Millisecond
	}
	work = time.Duration(float64(work) * (0.5 + p.random.Float64()))
	if p.random.IntN(33) == 0 {
		work *= 7
	}
	order := p.random.Perm(stopPlayOwners)
	if len(p.owners[order[1]].running) < len(p.owners[order[0]].running) {
		order[0], order[1] = order[1], order[0]
	}
	p.last++
	full := 0
	for _, i := range slices.Concat(order, order) {
		o := p.owners[i]
		if o.startAt > 0 {
			continue // it left, and all know it
		}
		noWait := full < stopPlayNoWait
		if !noWait && len(o.running) >= stopPlaySlots {
			continue
		}
		decisions := o.admitter.Arrive(admitter.Request{
			ID: p.last, Kind: kind, Repeatable: kind == "lookup", Weight: 1, NoWait: noWait,
			Target: at(now + requestTarget), Deadline: at(now + p.deadline),
		}, at(now))
		switch d := decisions[len(decisions)-1]; {
		case d.Action == admitter.Wait:
			o.admitter.Cancel(p.last)
			continue
		case d.Reason == fleet.ReasonBusy:
			full++
			continue
		case d.Action != admitter.Run:
			continue
		}
		o.running[p.last] = slotRequest{kind: kind, begun: now, end: now + work, late: o.stop > 0 && now >= o.stop, noWait: noWait}
		o.got = append(o.got, now)
		return
	}
	p.unserved++
}

// leastUsed returns the least share of backend servers that got requests in any window.
func (p *stopPlay) leastUsed() float64 {
	least := 1.0
	for from := 10 * time.Second; from+usedWindow <= stopPlayLength; from += 100 * time.Millisecond {
		used := 0
		for _, o := range p.owners {
			for _, got := range o.got {
				if got >= from && got < from+usedWindow {
					used++
					break
				}
			}
		}
		least = min(least, float64(used)/stopPlayOwners)
	}
	return least
}

// TestStoppingNodesKeepTheirBackendServersInUse guards against many healthy backend servers that get
// nothing while their nodes stop, and against requests that run there and are lost.
func TestStoppingNodesKeepTheirBackendServersInUse(t *testing.T) {
	for _, deadline := range []time.Duration{10 * time.Second, 5 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				before, now := playStopping(seed, false, false, deadline), playStopping(seed, true, false, deadline)
				t.Logf("seed %d: least share in use %.2f, before %.2f; not served %d, before %d; cut %d repeatable, %d too late",
					seed, now.leastUsed(), before.leastUsed(), now.unserved, before.unserved, now.cutRepeatable, now.cutTooLate)
				is.True(now.leastUsed() >= usedShare)
				is.True(now.unserved <= before.unserved)
				is.Equal(now.cutOnce, 0)
				is.Equal(now.cutTooLate, 0)
			}
		})
	}
}

// TestNodesThatStopAgainKeepTheirBackendServersInUse guards against backend servers that get nothing
// until their nodes end, because these were told to stop before they knew how long requests take.
func TestNodesThatStopAgainKeepTheirBackendServersInUse(t *testing.T) {
	for _, deadline := range []time.Duration{10 * time.Second, 5 * time.Second} {
		t.Run(deadline.String(), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				p := playStopping(seed, true, true, deadline)
				t.Logf("seed %d: least share in use %.2f; not served %d; cut %d repeatable, %d too late",
					seed, p.leastUsed(), p.unserved, p.cutRepeatable, p.cutTooLate)
				is.True(p.leastUsed() >= usedShare)
				is.Equal(p.cutOnce, 0)
				is.Equal(p.cutTooLate, 0)
			}
		})
	}
}
