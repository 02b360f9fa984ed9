package dispatcher

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// readLimit records the limit that the backend server names in an answer. A malformed one
// changes nothing.
func (a *attempt) readLimit(header http.Header) {
	text := header.Get(fleet.HeaderLimit)
	switch text {
	case "":
		return
	case fleet.LimitNone:
		if sent, since, changed := a.gate.removeLimit(); changed {
			a.recordLimit("lifted", 0, sent, since)
		}
		return
	}
	limit, err := parseLimit(text)
	if err != nil {
		event := fleet.NewEvent(fleet.EventSkipped, string(a.backend.ID), err.Error())
		a.dispatcher.recorder.Record(event.WithService(a.backend.Service))
		return
	}
	if sent, since, changed := a.gate.setLimit(limit); changed {
		a.recordLimit("named", limit, sent, since)
	}
}

// recordLimit records a change of the limit, and how many requests the backend server got
// since the change before.
func (a *attempt) recordLimit(reason string, limit float64, sent int, since time.Duration) {
	event := fleet.NewEvent(fleet.EventLimit, string(a.backend.ID), reason,
		fleet.Figure{Name: "limit", Value: limit},
		fleet.Figure{Name: "sent", Value: float64(sent)},
		fleet.Milliseconds("since", since))
	a.dispatcher.recorder.Record(event.WithService(a.backend.Service).WithDetail("in the answer to request " + string(a.call.request)))
}

// parseLimit parses a number of requests a second.
func parseLimit(text string) (float64, error) {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0, fmt.Errorf("limit %.40q is not a number of requests a second", text)
	}
	return limit, nil
}

// setLimit sets the limit that the backend server names. It reports whether the limit
// changed, and how many requests were sent in the time since the change before.
func (g *gate) setLimit(limit float64) (sent int, since time.Duration, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if !g.admitter.Limit(limit, now) {
		return 0, 0, false
	}
	g.deliver(g.admitter.Tick(now))
	sent, since = g.countSent()
	return sent, since, true
}

// removeLimit records that the backend server names no limit. Its results are those of setLimit.
func (g *gate) removeLimit() (sent int, since time.Duration, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions, changed := g.admitter.Lift(g.clock.Now())
	if !changed {
		return 0, 0, false
	}
	g.deliver(decisions)
	sent, since = g.countSent()
	return sent, since, true
}

// inherit adopts the limit that an ingress was told, for as long as the backend server itself
// has not shown whether it names one: this node may have been restarted since.
func (g *gate) inherit(c call) {
	if c.limit != nil && g.admitter.Inherit(*c.limit, g.clock.Now()) {
		g.countSent()
	}
}

// describeLimit returns the value of HeaderLimit, empty if it is not known, and the time for which
// the limit keeps a new request waiting.
func (g *gate) describeLimit() (limit string, pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rate, limited, known := g.admitter.Rate()
	switch {
	case limited:
		return strconv.FormatFloat(rate, 'f', -1, 64), g.admitter.Pause(g.clock.Now())
	case known:
		return fleet.LimitNone, 0
	default:
		return "", 0
	}
}

// schedule has the queue served when the limit allows the next request. The caller holds the
// gate's lock.
func (g *gate) schedule() {
	if g.pause != nil {
		g.pause.Stop()
		g.pause = nil
	}
	if wait, waiting := g.admitter.Next(g.clock.Now()); waiting {
		g.pause = g.clock.AfterFunc(wait, g.tick)
	}
}

// tick serves the queue as far as the limit allows.
func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.admitter.Tick(g.clock.Now()))
}

// countSent returns the number of requests sent since the last call, and that time.
func (g *gate) countSent() (sent int, since time.Duration) {
	now := g.clock.Now()
	sent, since = g.sent, now.Sub(g.limitSince)
	g.sent, g.limitSince = 0, now
	return sent, since
}
