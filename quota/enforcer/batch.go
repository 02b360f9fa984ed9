package enforcer

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// decision is the result of a call for one request.
type decision struct {
	granted bool
	// local is set when no home node answered.
	local      bool
	retryAfter time.Duration
}

// batch holds the requests of one organisation that wait while a call for it runs. The next call
// asks for all of them.
type batch struct {
	waiting []chan decision
}

// await waits for a decision: by a call of its own, or by the next one while another runs.
func (e *Enforcer) await(ctx context.Context, limit fleet.Limit) decision {
	e.mu.Lock()
	b, running := e.asking[limit.Organisation]
	if !running {
		b = &batch{}
		e.asking[limit.Organisation] = b
		e.mu.Unlock()
		result := e.askFor(limit, 1)[0]
		e.askNext(limit, b)
		return result
	}
	mine := make(chan decision, 1)
	b.waiting = append(b.waiting, mine)
	e.mu.Unlock()
	timer := e.clock.NewTimer(decisionTimeout)
	defer timer.Stop()
	select {
	case result := <-mine:
		return result
	case <-ctx.Done():
	case <-timer.Chan():
	}
	go e.abandon(limit.Organisation, mine)
	return decision{local: true}
}

// abandon gives back the credit of a request that has not waited for it.
func (e *Enforcer) abandon(organisation fleet.Organisation, late <-chan decision) {
	asked := e.elapsed()
	if result := <-late; result.granted {
		e.spender.Return(organisation, e.elapsed()-asked, e.elapsed())
	}
}

// askNext makes the calls for the requests that came meanwhile, and ends when there are none.
func (e *Enforcer) askNext(limit fleet.Limit, b *batch) {
	e.mu.Lock()
	waiting := b.waiting
	b.waiting = nil
	if len(waiting) == 0 {
		delete(e.asking, limit.Organisation)
		e.mu.Unlock()
		return
	}
	e.mu.Unlock()
	go func() {
		for i, result := range e.askFor(limit, len(waiting)) {
			waiting[i] <- result
		}
		e.askNext(limit, b)
	}()
}

// askFor asks for the credit of a number of requests and returns their decisions.
func (e *Enforcer) askFor(limit fleet.Limit, wanted int) []decision {
	results := make([]decision, wanted)
	asked := e.elapsed()
	answer, found := e.ask(limit, wanted)
	now := e.elapsed()
	if found {
		e.spender.Reached(now)
	}
	granted := int(answer.GetGranted())
	retryAfter := time.Duration(answer.GetRetryAfterMs()) * time.Millisecond
	for i := range results {
		results[i] = decision{granted: i < granted, local: !found, retryAfter: retryAfter}
	}
	if granted > wanted {
		e.spender.Put(limit.Organisation, granted-wanted, asked, now)
	}
	if found && granted < wanted {
		e.spender.Deny(limit.Organisation, retryAfter, now)
	}
	return results
}
