package forwarder

import (
	"context"
	"net/http"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/identity/tabulator"
)

// Quota enforces the limits of organisations over the whole fleet.
type Quota interface {
	// Admit decides about one request. If it is refused, retryAfter is the time until there is room.
	Admit(ctx context.Context, organisation fleet.Organisation, limit fleet.Limit) (retryAfter time.Duration, ok bool)
	// GiveBack gives back the credit of a request that was admitted some time ago and did not run.
	GiveBack(organisation fleet.Organisation, admitted time.Duration)
}

// accept checks the organisation's limit and buffers the body.
func (f *Forwarder) accept(ctx context.Context, w http.ResponseWriter, s *submission) *result {
	if refusal := f.checkLimit(ctx, s); refusal != nil {
		return refusal
	}
	f.countOutcome(s, tabulator.OutcomeAdmitted)
	f.limitReading(w, s.deadline)
	content, err := f.bodies.Collect(s.request.Body, s.request.ContentLength)
	if err != nil {
		f.giveBack(s)
		return refused(bodyReason(err), err.Error())
	}
	f.limitReading(w, time.Time{})
	s.content = content
	s.identity = identify(s.service, s.request.Method, s.locator, content.Bytes())
	return nil
}

// checkLimit returns the refusal of a request whose organisation is over its limit.
func (f *Forwarder) checkLimit(ctx context.Context, s *submission) *result {
	limit, limited := f.configurations.Configuration().Limit(s.organisation)
	if !limited {
		return nil
	}
	if f.quota == nil {
		if f.limiter.Allow(limit) {
			return nil
		}
		return f.overLimit(s)
	}
	asked := f.clock.Now()
	retryAfter, ok := f.quota.Admit(ctx, s.organisation, limit)
	if !ok {
		r := f.overLimit(s)
		r.retryAfter = retryAfter
		return r
	}
	s.admittedAt = asked
	return nil
}

// giveBack gives back the credit of a request that is proved not to have run.
func (f *Forwarder) giveBack(s *submission) {
	if s.admittedAt.IsZero() {
		return
	}
	f.countOutcome(s, tabulator.OutcomeGivenBack)
	f.quota.GiveBack(s.organisation, f.clock.Since(s.admittedAt))
	s.admittedAt = time.Time{}
}
