package forwarder

import (
	"context"
	"sync"

	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/fleet"
)

// stage is how far a submission has got. It decides which abort of the requests in flight ends it, and is safe
// for concurrent use: aborts come while the submission is served.
type stage struct {
	work *drainer.Drainer
	// end ends the submission; it is set before the first abort.
	end context.CancelCauseFunc

	mu sync.Mutex
	// attempt is the attempt in flight; nil if there is none.
	attempt *delivery
	// hedge is the stage of the attempt that was made beside it last; nil if there was none.
	hedge *stage
	// ran is set once an attempt ended without proof that it did not run.
	ran bool
	// answering is set once an answer is passed on.
	answering bool
	// late is set while the submission counts among drainer.LateRequests.
	late bool
	// left is set once the submission was served.
	left bool
}

// begin records that an attempt is sent.
func (s *stage) begin(d *delivery) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt = d
}

// beginHedge records an attempt that is made beside the one in flight.
func (s *stage) beginHedge(hedge *stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hedge = hedge
}

// mayBeAtWork reports whether a backend server may be at work on the submission. The caller holds mu.
func (s *stage) mayBeAtWork() bool {
	if s.ran || s.attempt != nil && s.attempt.mayBeAtWork() {
		return true
	}
	if s.hedge == nil {
		return false
	}
	s.hedge.mu.Lock()
	defer s.hedge.mu.Unlock()
	return s.hedge.mayBeAtWork()
}

// finish records that the attempt in flight ended, and whether it ran.
func (s *stage) finish(executed fleet.Executed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt, s.hedge = nil, nil
	s.ran = s.ran || executed == fleet.ExecutedUnknown
}

// mayHaveRun reports whether an attempt ended without proof that it did not run.
func (s *stage) mayHaveRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran
}

// answer records that an answer is passed on: there is no other answer to give in its place, so the submission is
// not aborted any more.
func (s *stage) answer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answering = true
}

// abortWaiting aborts the submission if it only waits. It becomes a late request otherwise.
func (s *stage) abortWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.left:
	case (s.answering || s.mayBeAtWork()) && s.work.Enter(drainer.LateRequests):
		s.late = true
	case !s.answering:
		s.end(context.DeadlineExceeded)
	}
}

// abort aborts the submission unless its answer is passed on.
func (s *stage) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answering {
		s.end(context.DeadlineExceeded)
	}
}

// leave ends the submission in the count of work in flight.
func (s *stage) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	s.work.Leave(drainer.Requests)
	if s.late {
		s.work.Leave(drainer.LateRequests)
	}
}
