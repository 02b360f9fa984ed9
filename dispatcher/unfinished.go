package dispatcher

import (
	"cmp"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// maxUnfinished bounds the events of attempts at work when the node ends.
	maxUnfinished = 32
	// reasonUnfinished is the reason in these events.
	reasonUnfinished = "unfinished"
)

// RecordUnfinished records an event for each attempt at work, those for the longest time first: the
// node ends before they do.
func (d *Dispatcher) RecordUnfinished() {
	unfinished := d.atWork()
	for _, a := range unfinished[:min(len(unfinished), maxUnfinished)] {
		figures := []fleet.Figure{fleet.Milliseconds("took", d.clock.Since(*a.began.Load()))}
		if lasted, stops := d.stopping.lasted(); stops {
			figures = append(figures, fleet.Milliseconds("stopping", lasted))
		}
		repeatable := fleet.Figure{Name: "repeatable"}
		if a.call.repeatable() {
			repeatable.Value = 1
		}
		a.record(reasonUnfinished, "", append(figures, repeatable)...)
	}
}

// atWork returns the attempts that were sent to their backend servers and have no answer, those for
// the longest time first.
func (d *Dispatcher) atWork() []*attempt {
	d.mu.Lock()
	var all []*attempt
	for _, g := range d.gates {
		all = append(all, g.attempts()...)
	}
	d.mu.Unlock()
	all = slices.DeleteFunc(all, func(a *attempt) bool { return a.began.Load() == nil })
	slices.SortFunc(all, func(a, b *attempt) int {
		return cmp.Or(a.began.Load().Compare(*b.began.Load()), cmp.Compare(a.call.request, b.call.request))
	})
	return all
}

// stoppingFigures returns for how long the node has been stopping, if it stops and the attempt ended with
// a reason that may come of it: it was handed back or its ingress left.
func (a *attempt) stoppingFigures(reason fleet.Reason) []fleet.Figure {
	lasted, stops := a.dispatcher.stopping.lasted()
	if !stops || reason != fleet.ReasonStopped && reason != fleet.ReasonCancelled {
		return nil
	}
	return []fleet.Figure{fleet.Milliseconds("stopping", lasted)}
}
