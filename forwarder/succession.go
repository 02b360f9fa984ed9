package forwarder

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/retrier"
)

// The results of a search for a slot in its event.
const (
	searchReserved = "reserved"
	searchNone     = "none"
)

// succession is what is needed to find the attempt that follows the present one. It is a copy of
// the submission's state at the start of the attempt, which is read while the attempt goes on.
type succession struct {
	submission submission
	state      attemptState
	// number is that of the next attempt, and counted how many so far count as attempts.
	number, counted int
	started         time.Time
}

// successor is the backend server of the next attempt, at which a slot is reserved for it.
type successor struct {
	backend fleet.Backend
	// retryCost is the cost of the retry that its owner has still to charge.
	retryCost float64
	// uncharged is the failure whose retry is charged to this node's budget once the attempt is made; nil if
	// it is charged already.
	uncharged *retrier.Attempt
}

// succession returns what may follow an attempt at a backend server with this number, or nil if
// nothing may. There is one trial run at a time.
func (f *Forwarder) succession(s *submission, state *attemptState, backend fleet.Backend, number int) *succession {
	if s.lastAttempt || !s.idempotent || s.trialNode != "" {
		return nil
	}
	n := &succession{submission: *s, state: *state, number: number + 1, counted: number - state.declined(), started: f.clock.Now()}
	n.submission.retryCost, n.submission.succession = 0, nil
	n.state.tried = append(slices.Clone(state.tried), backend.ID)
	// Owners that stopped then may have started again.
	n.state.failing, n.state.leaving = slices.Clone(state.failing), nil
	return n
}

// failed returns the present attempt as one that failed for a reason.
func (n *succession) failed(now time.Time, reason fleet.Reason) retrier.Attempt {
	s := n.submission
	return retrier.Attempt{
		Service:    s.service,
		Number:     n.counted,
		Runs:       n.state.ran + 1,
		MaxRuns:    s.maxRuns,
		Reached:    true,
		Took:       now.Sub(n.started),
		Outcome:    fleet.Outcome{Executed: fleet.ExecutedUnknown, Reason: reason},
		Charged:    s.charged,
		Idempotent: s.idempotent,
		Remaining:  s.deadline.Sub(now),
	}
}

// reserveNext has another owner reserve a slot for the attempt that follows this one, which is given up
// for a reason. It returns nil if none has, or no budget covers the retry. The retry is charged, unless a planned
// stop is the reason: that is charged beyond what is left, and the present attempt may still be answered.
func (f *Forwarder) reserveNext(ctx context.Context, n *succession, reason fleet.Reason) *successor {
	failed := n.failed(f.clock.Now(), reason)
	cost, allowed := f.retrier.Quote(failed)
	if !allowed {
		return nil
	}
	s, state := n.submission, n.state
	s.retryCost = cost
	state.ran++
	state.tried = slices.Clone(state.tried)
	next := f.offerOthers(ctx, &s, &state, n.number)
	switch {
	case next == nil || cost > 0:
	case reason == fleet.ReasonStopped:
		next.uncharged = &failed
	case !f.chargeNext(failed):
		return nil
	}
	return next
}

// offerOthers offers the attempt with this number to other owners that are likely to have a free slot, and
// returns it if one has reserved a slot; else nil. Owners that leave are not counted among those asked: in a wave of
// planned stops they are most of those that were not asked before.
func (f *Forwarder) offerOthers(ctx context.Context, s *submission, state *attemptState, number int) *successor {
	state.candidates = f.directory.Backends(s.service)
	s.lastAttempt = !f.allowsAnother(s, state, state.ran)
	var refusals []string
	for leaving := 0; len(refusals)-leaving < maxBudgetRefusals && leaving < maxEnding; {
		backend, found := f.selectOther(s, state)
		if !found {
			break
		}
		state.tried = append(state.tried, backend.ID)
		charged, refusal := f.offerNext(ctx, s, backend, number)
		if refusal != nil {
			refusals = append(refusals, f.describeRefusal(backend, refusal))
			if refusal.leaving() {
				leaving++
			}
			continue
		}
		f.recordSearch(s, searchReserved, number, refusals)
		if charged {
			return &successor{backend: backend}
		}
		return &successor{backend: backend, retryCost: s.retryCost}
	}
	f.recordSearch(s, searchNone, number, refusals)
	return nil
}

// recordSearch records the result of a search for a slot for the attempt with this number, and why offers were refused.
func (f *Forwarder) recordSearch(s *submission, result string, number int, refusals []string) {
	f.recorder.Record(fleet.NewEvent(fleet.EventSearch, string(s.id), result,
		fleet.Figure{Name: "attempt", Value: float64(number)},
		fleet.Figure{Name: "refused", Value: float64(len(refusals))},
		fleet.Milliseconds("left", s.deadline.Sub(f.clock.Now())),
		fleet.Milliseconds("until", f.latestAnswer(s).Sub(f.clock.Now())),
	).WithService(s.service).WithDetail(strings.Join(refusals, ", ")))
}

// describeRefusal tells why an owner refused an offer, and in which time its node ends if it has told so.
func (f *Forwarder) describeRefusal(backend fleet.Backend, r *result) string {
	text := string(r.outcome.Reason) + " at " + string(backend.ID)
	if r.ownerEnd.IsZero() {
		return text
	}
	return fmt.Sprintf("%s (ends in %dms)", text, r.ownerEnd.Sub(f.clock.Now()).Milliseconds())
}

// chargeNext charges a retry to this node's budget. What was left when it was offered may be used
// up by now; the slot is then free again after a while.
func (f *Forwarder) chargeNext(failed retrier.Attempt) bool {
	decision := f.retrier.Decide(failed)
	return decision.Retry && decision.RetryCost == 0
}

// selectOther picks a backend server that is likely to have a free slot.
func (f *Forwarder) selectOther(s *submission, state *attemptState) (fleet.Backend, bool) {
	unreachable, failing := f.unavailable(s, state)
	return f.picker.Pick(s.service, state.candidates, slices.Concat(state.tried, state.leaving, state.failing, failing, unreachable), s.idempotent)
}

// offerNext offers the next attempt to an owner, and returns why it has no slot for it; nil if it has. An owner
// that reserved one has charged the retry; one of a build without offers gets the attempt as it is.
func (f *Forwarder) offerNext(ctx context.Context, s *submission, backend fleet.Backend, number int) (charged bool, refusal *result) {
	owner, found := f.directory.Member(backend.Owner)
	if !found {
		return false, refused(fleet.ReasonGone, "the owner of the backend server is not known")
	}
	limited, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	charged, refusal = f.sendOffer(limited, s, backend, owner, number, noWait)
	if refusal == nil {
		return charged, nil
	}
	if limited.Err() != nil && ctx.Err() == nil {
		f.backOff(owner, refusal.message)
	}
	f.recordRefusal(s, backend, refusal)
	return false, refusal
}

// follow prepares the attempt whose slot is reserved, and charges it if it is a retry. It is none if the attempt before is
// proved not to have run, unless that was itself a retry, which its owner charges only when it runs.
func (f *Forwarder) follow(ctx context.Context, s *submission, number int, last *result) bool {
	isRetry := last.outcome.Executed != fleet.ExecutedNo || s.retryCost > 0
	s.retryCost = last.successor.retryCost
	if failed := last.successor.uncharged; failed != nil && isRetry {
		f.retrier.Decide(*failed)
	}
	s.charged = s.charged && !isRetry
	f.recorder.Record(fleet.NewEvent(fleet.EventRetry, string(s.id), string(last.outcome.Reason),
		fleet.Figure{Name: "attempt", Value: float64(number)},
		fleet.Figure{Name: "owed", Value: s.retryCost},
		fleet.Milliseconds("delay", 0),
	).WithService(s.service))
	return ctx.Err() == nil
}
