package ejector

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

// Ejector collects evidence and proposes ejections and returns. It is safe for
// concurrent use and serves HealthService.
type Ejector struct {
	node      fleet.NodeID
	clock     clockwork.Clock
	evaluator Evaluator
	appender  Appender
	messenger Messenger
	state     State
	members   Members
	local     Local
	journal   Journal

	mu           sync.Mutex
	evidenceSets map[fleet.BackendID]evidenceSet
	histories    map[fleet.BackendID]*history
}

// New returns the ejector of a node.
func New(node fleet.NodeID, evaluator Evaluator, options ...Option) *Ejector {
	e := &Ejector{
		node:         node,
		clock:        clockwork.NewRealClock(),
		evaluator:    evaluator,
		appender:     unset{},
		messenger:    unset{},
		state:        unset{},
		members:      unset{},
		local:        unset{},
		journal:      unset{},
		evidenceSets: map[fleet.BackendID]evidenceSet{},
		histories:    map[fleet.BackendID]*history{},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Testify records the evidence of another node and returns this node's own.
func (e *Ejector) Testify(
	_ context.Context, request *connect.Request[cowsliptallyv1.TestifyRequest],
) (*connect.Response[cowsliptallyv1.TestifyResponse], error) {
	now := e.clock.Now()
	answer := &cowsliptallyv1.TestifyResponse{}
	for _, message := range request.Msg.GetEvidence() {
		e.addEvidence(message, now)
		own, found := e.evaluator.OwnEvidence(fleet.BackendID(message.GetBackend()))
		if found {
			answer.Evidence = append(answer.Evidence, e.message(own))
		}
	}
	return connect.NewResponse(answer), nil
}

// addEvidence records a node's evidence.
func (e *Ejector) addEvidence(message *cowsliptallyv1.Evidence, now time.Time) {
	node := fleet.NodeID(message.GetNode())
	zone := e.zone(node)
	e.mu.Lock()
	defer e.mu.Unlock()
	id := fleet.BackendID(message.GetBackend())
	set, found := e.evidenceSets[id]
	if !found {
		set = evidenceSet{}
		e.evidenceSets[id] = set
	}
	set[node] = evidenceReport{
		node:    node,
		zone:    zone,
		llr:     message.GetScore(),
		reason:  message.GetReason(),
		figures: message.GetFigures(),
		at:      now,
	}
}

// message converts this node's evidence to its message.
func (e *Ejector) message(own evaluator.Evidence) *cowsliptallyv1.Evidence {
	return &cowsliptallyv1.Evidence{
		Node:    string(e.node),
		Backend: string(own.Backend),
		Score:   own.LLR,
		Reason:  string(own.Cause),
		Figures: translator.FiguresToMessage(own.Figures()),
	}
}

// zone returns the availability zone of a node, or "" for an unknown node.
func (e *Ejector) zone(node fleet.NodeID) fleet.Zone {
	for _, member := range e.members.Members() {
		if member.ID == node {
			return member.Zone
		}
	}
	return ""
}

func (e *Ejector) history(id fleet.BackendID) *history {
	h, found := e.histories[id]
	if !found {
		h = &history{}
		e.histories[id] = h
	}
	return h
}
