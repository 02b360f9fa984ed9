package ejector

import (
	"context"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Option configures an Ejector.
type Option func(*Ejector)

// WithClock sets the clock; the default is the system clock.
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

// WithState sets the source of accepted ejections and joined backend servers.
func WithState(state State) Option {
	return func(e *Ejector) { e.state = state }
}

// WithMembers sets the source of nodes and their availability zones.
func WithMembers(members Members) Option {
	return func(e *Ejector) { e.members = members }
}

// WithLocal sets the source of the backend servers of this VM.
func WithLocal(local Local) Option {
	return func(e *Ejector) { e.local = local }
}

// WithJournal sets where events are recorded.
func WithJournal(journal Journal) Option {
	return func(e *Ejector) { e.journal = journal }
}

// unset stands for dependencies that were not set.
type unset struct{}

func (unset) Append(context.Context, *cowsliptallyv1.Record) error {
	return newError("append", KindSetup, "the ejector has no appender")
}

func (unset) Testify(
	context.Context, fleet.NodeID, *cowsliptallyv1.TestifyRequest,
) (*cowsliptallyv1.TestifyResponse, error) {
	return nil, newError("testify", KindSetup, "the ejector has no messenger")
}

func (unset) Ejected(fleet.BackendID) (*cowsliptallyv1.Ejection, bool) { return nil, false }

func (unset) Backend(fleet.BackendID) (fleet.Backend, bool) { return fleet.Backend{}, false }

func (unset) Members() []fleet.Member { return nil }

func (unset) Local() []fleet.Backend { return nil }

func (unset) Record(fleet.Event) {}
