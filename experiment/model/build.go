package model

import (
	"context"
	"fmt"
	"math"
	"slices"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/ejector"
	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

type ejection = cowsliptallyv1.Ejection

// build creates the backend servers and nodes.
func (m *Model) build() {
	for index := range m.settings.Backends {
		m.backends = append(m.backends, m.newBackend(index, fleet.BackendReady))
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
func (m *Model) newBackend(index int, state fleet.BackendState) *backend {
	b := &backend{
		entry: fleet.Backend{
			ID:      backendName(m.created),
			Service: serviceName,
			Owner:   ownersNode,
			Zone:    zone(index),
			Slots:   m.settings.Slots,
			State:   state,
		},
		index:      index,
		timeFactor: math.Exp(timeFactorSigma * m.random.NormFloat64()),
		coldStart:  -1,
	}
	m.created++
	m.byID[b.entry.ID] = b
	return b
}

// replaceBackend replaces a backend server with a new one that starts cold.
func (m *Model) replaceBackend(old *backend) {
	old.entry.State = fleet.BackendGone
	replacement := m.newBackend(old.index, fleet.BackendStarting)
	replacement.coldStart = m.clock.now
	m.backends[old.index] = replacement
	m.publish()
}

// publish updates the list of backend servers that all nodes use.
func (m *Model) publish() {
	list := make([]fleet.Backend, 0, len(m.backends))
	for _, b := range m.backends {
		list = append(list, b.entry)
	}
	m.directory = list
}

// newNode returns a node with the balancer and the policy of the settings.
func (m *Model) newNode(number int, id fleet.NodeID) *ingress {
	n := &ingress{
		number: number,
		member: fleet.Member{ID: id, Zone: zone(number), State: fleet.MemberAlive},
	}
	entry := policies[m.settings.Policy]
	if entry.baseline != nil {
		n.policy = entry.baseline(m.clock)
	} else {
		e := evaluator.New(evaluator.WithClock(m.clock), evaluator.WithSettings(m), evaluator.WithEjections(m.log), evaluator.WithDirectory(m))
		n.policy = e
		n.ejector = ejector.New(id, e, ejector.WithClock(m.clock), ejector.WithAppender(m.log),
			ejector.WithState(m.log), ejector.WithMembers(m), ejector.WithMessenger(messenger{m}),
			ejector.WithLocal(localBackends{m, id}))
	}
	n.balancer = balancer.New(balancer.WithClock(m.clock), balancer.WithHealthSource(n.policy),
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

// messenger passes evidence between nodes without a network.
type messenger struct{ model *Model }

// Testify requests evidence from a node, which answers without delay.
func (s messenger) Testify(
	ctx context.Context, to fleet.NodeID, request *cowsliptallyv1.TestifyRequest,
) (*cowsliptallyv1.TestifyResponse, error) {
	nodes := s.model.nodes()
	index := slices.IndexFunc(nodes, func(n *ingress) bool { return n.member.ID == to })
	if index < 0 || s.model.isPaused(nodes[index]) {
		return nil, newError("testify", KindLog, "node %q does not answer", to)
	}
	answer, err := nodes[index].ejector.Testify(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// localBackends provides the backend servers that one node owns.
type localBackends struct {
	model *Model
	node  fleet.NodeID
}

// Local returns all backend servers for ownersNode, none for other nodes.
func (l localBackends) Local() []fleet.Backend {
	if l.node == ownersNode {
		return l.model.directory
	}
	return nil
}
