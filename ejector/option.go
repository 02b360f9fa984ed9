package ejector

import (
	"context"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Option sets up an ejector.
type Option func(*Ejector)

// WithClock sets the clock; the system's is used without it.
func WithClock(clock clockwork.Clock) Option {
	return func(e *Ejector) { e.clock = clock }
}

// WithAppender sets where ejections and returns are proposed.
func WithAppender(appender Appender) Option {
	return func(e *Ejector) { e.appender = appender }
}

// WithMessenger sets how evidence reaches other nodes.
func WithMessenger(messenger Messenger) Option {
	return func(e *Ejector) { e.messenger = messenger }
}

// WithFold sets where agreed ejections and joined backend servers are found.
func WithFold(fold Fold) Option {
	return func(e *Ejector) { e.fold = fold }
}

// WithMembers sets where nodes and their availability zones are found.
func WithMembers(members Members) Option {
	return func(e *Ejector) { e.members = members }
}

// WithLocal sets where the backend servers of this VM are found.
func WithLocal(local Local) Option {
	return func(e *Ejector) { e.local = local }
}

// WithJournal sets where events go.
func WithJournal(journal Journal) Option {
	return func(e *Ejector) { e.journal = journal }
}

type nowhere struct{}

func (nowhere) Append(context.Context, *cowsliptallyv1.Record) error {
	return newError("append", KindSetup, "the ejector has no appender")
}

func (nowhere) Testify(
	context.Context, fleet.NodeID, *cowsliptallyv1.TestifyRequest,
) (*cowsliptallyv1.TestifyResponse, error) {
	return nil, newError("testify", KindSetup, "the ejector has no messenger")
}

func (nowhere) Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool) { return nil, false }

func (nowhere) Backend(fleet.BackendID) (fleet.Backend, bool) { return fleet.Backend{}, false }

func (nowhere) Members() []fleet.Member { return nil }

func (nowhere) Local() []fleet.Backend { return nil }

func (nowhere) Record(fleet.Event) {}
