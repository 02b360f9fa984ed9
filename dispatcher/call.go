package dispatcher

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/sealer"
)

// call is one attempt as its ingress described it.
type call struct {
	request      fleet.RequestID
	backend      fleet.BackendID
	kind         fleet.RequestKind
	organisation fleet.Organisation
	identity     string
	ticket       string
	attempt      int
	weight       int
	idempotent   bool
	trial        bool
	// noWait attempts are refused unless a slot is free.
	noWait bool
	// last is set when no further attempt is allowed if this one runs.
	last bool
	// follows is set when the ingress finds the next attempt itself if this node stops.
	follows bool
	// retryCost is charged to this node's retry budget for the attempt; 0 means no charge.
	retryCost float64
	// received is when a request was received that its ingress has not counted for its retry
	// budget; zero if it has.
	received time.Time
	// forced attempts are sent even to a failing backend server.
	forced bool
	// limit is the backend server's limit in requests a second as the ingress was told it; nil
	// if it was told none.
	limit *float64
	// target is the time after which an answer loses value; zero if it never does.
	target   time.Time
	deadline time.Time
	// abort is when its ingress aborts the request, as that stops; zero if it does not.
	abort time.Time
}

// endsBefore reports whether the attempt ends before a time, by its deadline or by the end of its ingress.
func (c call) endsBefore(at time.Time) bool {
	return c.deadline.Before(at) || !c.abort.IsZero() && c.abort.Before(at)
}

// repeatable reports whether another attempt may follow if this one is cut.
func (c call) repeatable() bool { return c.idempotent && !c.last }

// isHandedBack reports whether a node that ends at a time hands the attempt back: another one may
// follow that its ingress doesn't find by itself, and this one is unlikely to end here. How long its
// kind takes here says little of other backend servers.
func (c call) isHandedBack(now, expectedEnd, nodeEnd time.Time) bool {
	if !c.repeatable() || c.follows || c.deadline.Sub(now) <= minRetryTime || c.endsBefore(nodeEnd) {
		return false
	}
	return !expectedEnd.After(now) || expectedEnd.After(nodeEnd)
}

// parseCall reads the headers between nodes.
func parseCall(header http.Header, now time.Time) (call, error) {
	c := call{
		request:      fleet.RequestID(header.Get(fleet.HeaderRequestID)),
		backend:      fleet.BackendID(header.Get(fleet.HeaderBackend)),
		kind:         fleet.RequestKind(header.Get(fleet.HeaderKind)),
		organisation: fleet.Organisation(header.Get(fleet.HeaderOrganisation)),
		identity:     header.Get(fleet.HeaderIdentity),
		ticket:       header.Get(fleet.HeaderTicket),
		idempotent:   header.Get(fleet.HeaderIdempotent) == "true",
		trial:        header.Get(fleet.HeaderTrial) == "true",
		last:         header.Get(fleet.HeaderLastAttempt) == "true",
		follows:      header.Get(fleet.HeaderFollows) == "true",
		forced:       header.Get(fleet.HeaderForced) == "true",
		noWait:       header.Get(fleet.HeaderNoWait) == "none",
	}
	if c.request == "" || c.backend == "" {
		return call{}, fmt.Errorf("headers %s and %s are needed", fleet.HeaderRequestID, fleet.HeaderBackend)
	}
	attempt, err := number(header, fleet.HeaderAttempt)
	if err != nil {
		return call{}, err
	}
	timeout, err := number(header, fleet.HeaderTimeout)
	if err != nil {
		return call{}, err
	}
	weight, err := number(header, fleet.HeaderWeight)
	if err != nil {
		return call{}, err
	}
	if value := header.Get(fleet.HeaderTarget); value != "" {
		left, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return call{}, fmt.Errorf("header %s is %q, not a whole number", fleet.HeaderTarget, value)
		}
		c.target = now.Add(time.Duration(left) * time.Millisecond)
	}
	if value := header.Get(fleet.HeaderRetryCost); value != "" {
		cost, err := strconv.ParseFloat(value, 64)
		if err != nil || !(cost > 0) {
			return call{}, fmt.Errorf("header %s is %q, not a number above 0", fleet.HeaderRetryCost, value)
		}
		c.retryCost = cost
	}
	if left, err := number(header, fleet.HeaderAborts); err == nil {
		c.abort = now.Add(time.Duration(left) * time.Millisecond)
	}
	if age, err := number(header, fleet.HeaderEarned); err == nil {
		c.received = now.Add(-time.Duration(age) * time.Millisecond)
	}
	if value := header.Get(fleet.HeaderLimit); value != "" && value != fleet.LimitNone {
		limit, err := parseLimit(value)
		if err != nil {
			return call{}, fmt.Errorf("header %s: %w", fleet.HeaderLimit, err)
		}
		c.limit = &limit
	}
	c.attempt, c.weight = attempt, weight
	c.deadline = now.Add(time.Duration(timeout) * time.Millisecond)
	return c, nil
}

// sealerAttempt returns the attempt in the form that the sealer uses.
func (c call) sealerAttempt() sealer.Attempt {
	return sealer.Attempt{Request: c.request, Number: c.attempt, Ticket: c.ticket, Once: !c.idempotent}
}

func number(header http.Header, name string) (int, error) {
	value, err := strconv.Atoi(header.Get(name))
	if err != nil || value < 0 {
		return 0, fmt.Errorf("header %s is %q, not a whole number from 0", name, header.Get(name))
	}
	return value, nil
}
