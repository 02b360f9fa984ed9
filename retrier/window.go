package retrier

import "time"

// windowSlots is the number of parts into which a window is divided.
const windowSlots = 10

// window is an account that allows, at any moment, what the requests of the last window
// and a fixed slack permit, less what was charged in it. The windows of all nodes add up
// to that of the fleet.
type window struct {
	allowance func() Allowance
	// slots holds one part more than a window: the newest one has only begun, and what
	// was charged in the oldest one still counts.
	slots [windowSlots + 1]slot
}

// slot is one part of a window.
type slot struct {
	// number counts the parts from 1; a slot with another one is empty.
	number   int64
	requests float64
	charged  float64
}

// newWindow returns a window in which what an earlier process may have charged counts as
// charged at the start.
func newWindow(allowance func() Allowance) *window {
	w := &window{allowance: allowance}
	w.slots[1] = slot{number: 1, charged: allowance().InitialCharge}
	return w
}

func (w *window) recordRequest(at time.Duration) {
	if s := w.slot(at); s != nil {
		s.requests++
	}
}

func (w *window) charge(now time.Duration, cost float64) { w.slot(now).charged += cost }

func (w *window) remaining(now time.Duration) float64 {
	allowance := w.allowance()
	oldest := w.number(now, allowance) - windowSlots
	var requests, charged float64
	for _, s := range w.slots {
		if s.number > oldest {
			requests += s.requests
		}
		if s.number >= oldest {
			charged += s.charged
		}
	}
	return allowance.RetriesPerRequest*requests + allowance.Slack - charged
}

// slot returns the part of the window at a time, emptied if it is a new one; nil if its place
// was taken by a later one.
func (w *window) slot(now time.Duration) *slot {
	number := w.number(now, w.allowance())
	s := &w.slots[number%int64(len(w.slots))]
	if s.number > number {
		return nil
	}
	if s.number < number {
		*s = slot{number: number}
	}
	return s
}

func (w *window) number(now time.Duration, allowance Allowance) int64 {
	return 1 + int64(now/max(allowance.Window/windowSlots, 1))
}
