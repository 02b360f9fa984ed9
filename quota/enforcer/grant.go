package enforcer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/quota/allocator"
	"cowsliptally.example/cowsliptally/quota/ranker"
)

// AskPath is the path at which a node is asked for credit.
const AskPath = "/quota"

// ServeAsk answers a node that asks for credit.
func (e *Enforcer) ServeAsk(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAsk))
	request := &cowsliptallyv1.AskRequest{}
	if err != nil || proto.Unmarshal(content, request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, err := e.Ask(r.Context(), request)
	switch {
	case errors.Is(err, errNotFirst):
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := proto.Marshal(response)
	if err != nil {
		panic(err)
	}
	w.Header()["Content-Type"] = []string{askType}
	// A write error means that the asker does not wait any more.
	_, _ = w.Write(body)
}

// Ask answers a node that asks for credit.
func (e *Enforcer) Ask(ctx context.Context, request *cowsliptallyv1.AskRequest) (*cowsliptallyv1.AskResponse, error) {
	e.noticeFreeze()
	if !e.joined() {
		return nil, errNotJoined
	}
	if request.GetForwarded() && e.ranker.Place(fleet.Organisation(request.GetOrganisation())).Rank != 0 {
		return nil, errNotFirst
	}
	return e.grant(ctx, request), nil
}

// grant grants credit as far as this node may, or passes the call on to the node that may.
func (e *Enforcer) grant(ctx context.Context, message *cowsliptallyv1.AskRequest) *cowsliptallyv1.AskResponse {
	organisation := fleet.Organisation(message.GetOrganisation())
	limit := fleet.Limit{
		Organisation:      organisation,
		RequestsPerSecond: message.GetRequestsPerSecond(),
		Burst:             int(message.GetBurst()),
	}
	revision := fleet.Revision(message.GetRevision())
	p := e.obtainPromise(ctx, limit, revision)
	if response, passed := e.passOn(ctx, message, p); passed {
		return response
	}
	own, ownRevision := e.limit(organisation)
	granted := e.allocator.Ask(allocator.Request{
		Limit:       limit,
		Revision:    revision,
		Wanted:      int(message.GetWanted()),
		Extra:       int(message.GetExtra()),
		Returned:    int(message.GetReturned()),
		ReturnedAge: time.Duration(message.GetReturnedAgeMs()) * time.Millisecond,
	}, own, ownRevision, p, e.elapsed())
	if renewal, behind := e.allocator.Behind(organisation, p, e.elapsed()); behind {
		second, _ := p.Second()
		e.renew(ctx, second, []allocator.Renewal{renewal})
	}
	e.counters.granted.Inc(int64(granted.Granted))
	return &cowsliptallyv1.AskResponse{
		Granted:      uint32(granted.Granted),
		RetryAfterMs: uint32(granted.RetryAfter.Milliseconds()),
	}
}

// obtainPromise asks the second node for its promise if that is missing, and returns the place by
// which it was chosen.
func (e *Enforcer) obtainPromise(ctx context.Context, limit fleet.Limit, revision fleet.Revision) *ranker.Place {
	for range maxRounds {
		p := e.ranker.Place(limit.Organisation)
		renewal, needed := e.allocator.NeedsPromise(limit, revision, p, e.elapsed())
		if !needed {
			return p
		}
		second, _ := p.Second()
		e.renew(ctx, second, []allocator.Renewal{renewal})
		if e.ranker.Knows(second.ID) {
			return p
		}
	}
	return e.ranker.Place(limit.Organisation)
}

// passOn passes a call on to the node to which this one leaves the grants. If that does not answer, this
// node answers for itself.
func (e *Enforcer) passOn(ctx context.Context, message *cowsliptallyv1.AskRequest, p *ranker.Place) (*cowsliptallyv1.AskResponse, bool) {
	target, defers := e.allocator.Defers(fleet.Organisation(message.GetOrganisation()), p, e.elapsed())
	if !defers || message.GetForwarded() || e.skips(target.ID) {
		return nil, false
	}
	forwarded := proto.CloneOf(message)
	forwarded.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	e.counters.passedOn.Inc(1)
	response, err := e.transport.Ask(ctx, target.PeerAddress, forwarded)
	if err != nil {
		if !errors.Is(err, errNotFirst) {
			e.skip(target.ID, err)
		}
		return nil, false
	}
	return response, true
}

// skips reports whether a node did not answer a moment ago.
func (e *Enforcer) skips(node fleet.NodeID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	until, found := e.skipped[node]
	return found && e.elapsed() < until
}
