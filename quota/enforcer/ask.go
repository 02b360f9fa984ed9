package enforcer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// answer is the result of one call.
type answer struct {
	node     fleet.NodeID
	response *cowsliptallyv1.AskResponse
	err      error
}

// ask asks the home node, and after a time the next one, for credit.
func (e *Enforcer) ask(limit fleet.Limit, wanted int) (*cowsliptallyv1.AskResponse, bool) {
	if !e.joined() {
		return nil, false
	}
	now := e.elapsed()
	returned, age := e.spender.Collect(limit.Organisation, now)
	_, revision := e.limit(limit.Organisation)
	request := &cowsliptallyv1.AskRequest{
		Organisation:      string(limit.Organisation),
		Wanted:            uint32(wanted),
		Returned:          uint32(returned),
		ReturnedAgeMs:     uint32(age.Milliseconds()) + 1,
		RequestsPerSecond: limit.RequestsPerSecond,
		Burst:             uint32(max(0, limit.Burst)),
		Revision:          uint64(revision),
	}
	// Nodes that do not know the call answer at once, and the next ones are asked.
	for range maxRounds {
		targets := e.targets(limit.Organisation, now)
		if len(targets) == 0 {
			return nil, false
		}
		if targets[0].ID == e.self {
			return e.grant(context.Background(), request), true
		}
		request.Extra = uint32(e.spender.Extra(limit.Organisation, now))
		if response, found := e.callInTurn(targets, request); found {
			return response, true
		}
		if e.ranker.Knows(targets[len(targets)-1].ID) || e.elapsed()-now >= decisionTimeout/4 {
			return nil, false
		}
	}
	return nil, false
}

// targets returns the nodes to ask, in order, without those that did not answer a moment ago.
func (e *Enforcer) targets(organisation fleet.Organisation, now time.Duration) []fleet.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	var targets []fleet.Member
	for _, m := range e.ranker.Place(organisation).Order {
		if until, skipped := e.skipped[m.ID]; skipped && now < until {
			continue
		}
		targets = append(targets, m)
		if len(targets) == maxCalls {
			break
		}
	}
	return targets
}

// callInTurn calls the nodes one after the other, each when the one before has failed or has not
// answered in time. The first answer counts, also that of a node that is late.
func (e *Enforcer) callInTurn(targets []fleet.Member, request *cowsliptallyv1.AskRequest) (*cowsliptallyv1.AskResponse, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), decisionTimeout)
	defer cancel()
	end := e.clock.NewTimer(decisionTimeout)
	defer end.Stop()
	answers := make(chan answer, len(targets))
	called, failed := 0, 0
	next := e.clock.NewTimer(askTimeout)
	defer next.Stop()
	call := func() {
		target := targets[called]
		called++
		go func() { answers <- e.call(ctx, target, request) }()
	}
	call()
	for {
		select {
		case a := <-answers:
			if a.err == nil {
				return a.response, true
			}
			failed++
			e.skip(a.node, a.err)
		case <-next.Chan():
			e.skip(targets[called-1].ID, context.DeadlineExceeded)
		case <-end.Chan():
			e.skip(targets[called-1].ID, context.DeadlineExceeded)
			return nil, false
		}
		if called < len(targets) {
			call()
		} else if failed == called {
			return nil, false
		}
	}
}

// call calls one node, which may be this one.
func (e *Enforcer) call(ctx context.Context, target fleet.Member, request *cowsliptallyv1.AskRequest) answer {
	e.counters.asks.Inc(1)
	if target.ID == e.self {
		return answer{node: target.ID, response: e.grant(ctx, request)}
	}
	response, err := e.transport.Ask(ctx, target.PeerAddress, request)
	return answer{node: target.ID, response: response, err: err}
}

// skip leaves out a node that did not answer. One that does not know the call is no home node
// until it is replaced.
func (e *Enforcer) skip(node fleet.NodeID, err error) {
	e.counters.failures.Inc(1)
	now := e.elapsed()
	if unsupported(err) {
		e.counters.unsupported.Inc(1)
		e.ranker.Exclude(node)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.skipped[node] = now + skipTime
}

// unsupported reports whether a node does not know a call, as those of an older build.
func unsupported(err error) bool {
	return errors.Is(err, errUnknownCall) || connect.CodeOf(err) == connect.CodeUnimplemented
}
