package ejector

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/judge"
	"cowsliptally.example/cowsliptally/translator"
)

// Ejector collects evidence and proposes ejections and returns. It is safe for
// concurrent use and serves HealthService.
type Ejector struct {
	node      fleet.NodeID
	clock     clockwork.Clock
	judge     Judge
	appender  Appender
	messenger Messenger
	fold      Fold
	members   Members
	local     Local
	journal   Journal

	mu        sync.Mutex
	dossiers  map[fleet.BackendID]dossier
	sentences map[fleet.BackendID]*sentence
}

// New returns the ejector of a node.
func New(node fleet.NodeID, verdicts Judge, options ...Option) *Ejector {
	e := &Ejector{
		node:      node,
		clock:     clockwork.NewRealClock(),
		judge:     verdicts,
		appender:  nowhere{},
		messenger: nowhere{},
		fold:      nowhere{},
		members:   nowhere{},
		local:     nowhere{},
		journal:   nowhere{},
		dossiers:  map[fleet.BackendID]dossier{},
		sentences: map[fleet.BackendID]*sentence{},
	}
	for _, option := range options {
		option(e)
	}
	return e
}

// Testify takes in the evidence of another node and answers with this node's own.
func (e *Ejector) Testify(
	_ context.Context, request *connect.Request[cowsliptallyv1.TestifyRequest],
) (*connect.Response[cowsliptallyv1.TestifyResponse], error) {
	now := e.clock.Now()
	answer := &cowsliptallyv1.TestifyResponse{}
	for _, message := range request.Msg.GetEvidence() {
		e.take(message, now)
		own, found := e.judge.Opinion(fleet.BackendID(message.GetBackend()))
		if found {
			answer.Evidence = append(answer.Evidence, e.message(own))
		}
	}
	return connect.NewResponse(answer), nil
}

// take enters a node's evidence.
func (e *Ejector) take(message *cowsliptallyv1.Evidence, now time.Time) {
	node := fleet.NodeID(message.GetNode())
	zone := e.zone(node)
	e.mu.Lock()
	defer e.mu.Unlock()
	id := fleet.BackendID(message.GetBackend())
	d, found := e.dossiers[id]
	if !found {
		d = dossier{}
		e.dossiers[id] = d
	}
	d[node] = testimony{
		node:    node,
		zone:    zone,
		nats:    message.GetScore(),
		reason:  message.GetReason(),
		figures: message.GetFigures(),
		at:      now,
	}
}

// message converts own evidence.
func (e *Ejector) message(own judge.Evidence) *cowsliptallyv1.Evidence {
	return &cowsliptallyv1.Evidence{
		Node:    string(e.node),
		Backend: string(own.Backend),
		Score:   own.Nats,
		Reason:  string(own.Cause),
		Figures: translator.FiguresToMessage(own.Figures()),
	}
}

// zone returns the availability zone of a node, or "" when it is not known.
func (e *Ejector) zone(node fleet.NodeID) fleet.Zone {
	for _, member := range e.members.Members() {
		if member.ID == node {
			return member.Zone
		}
	}
	return ""
}

func (e *Ejector) sentence(id fleet.BackendID) *sentence {
	s, found := e.sentences[id]
	if !found {
		s = &sentence{}
		e.sentences[id] = s
	}
	return s
}
