package model

import (
	"context"
	"fmt"
	"math"
	"slices"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/ejector"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/judge"
)

type ejection = cowsliptallyv1.Ejection

// build makes backend servers and nodes.
func (m *Model) build() {
	for place := range m.settings.Backends {
		m.backends = append(m.backends, m.newBackend(place, fleet.BackendReady))
	}
	m.publish()
	nodes := m.settings.Nodes
	if nodes == 0 {
		nodes = max(m.scenario.nodes, 1)
	}
	for number := range nodes {
		m.ingresses = append(m.ingresses, m.newNode(number, fleet.NodeID(fmt.Sprintf("ingress-%d", number))))
	}
	if policies[m.settings.Policy].baseline == nil {
		m.owners = m.newNode(nodes, ownersNode)
	}
}

// newBackend returns a backend server with a new name.
func (m *Model) newBackend(place int, state fleet.BackendState) *backend {
	b := &backend{
		entry: fleet.Backend{
			ID:      backendName(m.named),
			Service: serviceName,
			Owner:   ownersNode,
			Zone:    zone(place),
			Slots:   m.settings.Slots,
			State:   state,
		},
		place: place,
		speed: math.Exp(speedSpread * m.random.NormFloat64()),
		born:  -1,
	}
	m.named++
	m.byID[b.entry.ID] = b
	return b
}

// replaceBackend swaps a backend server for a new one that starts cold.
func (m *Model) replaceBackend(old *backend) {
	old.entry.State = fleet.BackendGone
	fresh := m.newBackend(old.place, fleet.BackendStarting)
	fresh.born = m.clock.now
	m.backends[old.place] = fresh
	m.publish()
}

// publish makes a new list of backend servers for all nodes.
func (m *Model) publish() {
	list := make([]fleet.Backend, 0, len(m.backends))
	for _, b := range m.backends {
		list = append(list, b.entry)
	}
	m.directory = list
}

func (m *Model) newNode(number int, id fleet.NodeID) *ingress {
	n := &ingress{
		number: number,
		member: fleet.Member{ID: id, Zone: zone(number), State: fleet.MemberAlive},
	}
	entry := policies[m.settings.Policy]
	if entry.baseline != nil {
		n.policy = entry.baseline(m.clock)
	} else {
		j := judge.New(judge.WithClock(m.clock), judge.WithSettings(m), judge.WithEjections(m.ledger), judge.WithDirectory(m))
		n.policy = j
		n.ejector = ejector.New(id, j, ejector.WithClock(m.clock), ejector.WithAppender(m.ledger),
			ejector.WithFold(m.ledger), ejector.WithMembers(m), ejector.WithMessenger(messenger{m}),
			ejector.WithLocal(localOf{m, id}))
	}
	n.balancer = balancer.New(balancer.WithClock(m.clock), balancer.WithVerdicts(n.policy),
		balancer.WithSeed(m.settings.Seed+uint64(number)))
	return n
}

// Configuration returns the service's configuration.
func (m *Model) Configuration() fleet.Configuration {
	return m.configuration
}

// Backends returns the backend servers.
func (m *Model) Backends(fleet.ServiceName) []fleet.Backend { return m.directory }

// Members returns the nodes.
func (m *Model) Members() []fleet.Member {
	var list []fleet.Member
	for _, n := range m.nodes() {
		list = append(list, n.member)
	}
	return list
}

func zone(number int) fleet.Zone {
	return fleet.Zone(fmt.Sprintf("zone-%d", number%zoneCount))
}

// messenger hands evidence from node to node.
type messenger struct{ model *Model }

// Testify asks a node at once.
func (s messenger) Testify(
	ctx context.Context, to fleet.NodeID, request *cowsliptallyv1.TestifyRequest,
) (*cowsliptallyv1.TestifyResponse, error) {
	nodes := s.model.nodes()
	place := slices.IndexFunc(nodes, func(n *ingress) bool { return n.member.ID == to })
	if place < 0 || s.model.waits(nodes[place]) {
		return nil, newError("testify", KindLog, "node %q does not answer", to)
	}
	answer, err := nodes[place].ejector.Testify(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// localOf gives the backend servers of one node.
type localOf struct {
	model *Model
	node  fleet.NodeID
}

// Local returns all backend servers for the owners, none for others.
func (l localOf) Local() []fleet.Backend {
	if l.node == ownersNode {
		return l.model.directory
	}
	return nil
}
