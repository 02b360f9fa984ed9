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
	if g.limited && g.limit == limit {
		return 0, 0, false
	}
	g.limit, g.limited = limit, true
	sent, since = g.countSent()
	return sent, since, true
}

// removeLimit records that the backend server names no limit. Its results are those of setLimit.
func (g *gate) removeLimit() (sent int, since time.Duration, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limited {
		return 0, 0, false
	}
	g.limit, g.limited = 0, false
	sent, since = g.countSent()
	return sent, since, true
}

// countSent returns the number of requests sent since the last call, and that time.
func (g *gate) countSent() (sent int, since time.Duration) {
	now := g.clock.Now()
	sent, since = g.sent, now.Sub(g.limitSince)
	g.sent, g.limitSince = 0, now
	return sent, since
}
