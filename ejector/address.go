package ejector

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// letter is evidence on its way to one node.
type letter struct {
	to      fleet.NodeID
	request *cowsliptallyv1.TestifyRequest
}

// letters returns this node's evidence by the nodes that it goes to.
func (e *Ejector) letters() []letter {
	byNode := map[fleet.NodeID]*cowsliptallyv1.TestifyRequest{}
	var order []fleet.NodeID
	for _, evidence := range e.judge.Evidence() {
		for _, node := range e.recipients(evidence.Backend) {
			if byNode[node] == nil {
				byNode[node] = &cowsliptallyv1.TestifyRequest{}
				order = append(order, node)
			}
			byNode[node].Evidence = append(byNode[node].Evidence, e.message(evidence))
		}
	}
	list := make([]letter, 0, len(order))
	for _, node := range order {
		list = append(list, letter{to: node, request: byNode[node]})
	}
	return list
}

// recipients returns the owner of a backend server and its deputy, without this node.
func (e *Ejector) recipients(id fleet.BackendID) []fleet.NodeID {
	backend, joined := e.fold.Backend(id)
	if !joined {
		return nil
	}
	var nodes []fleet.NodeID
	if backend.Owner != e.node {
		nodes = append(nodes, backend.Owner)
	}
	deputy := e.deputy(id, backend.Owner)
	if deputy != "" && deputy != e.node {
		nodes = append(nodes, deputy)
	}
	return nodes
}

// deputy returns the node that stands in for the owner of a backend server.
func (e *Ejector) deputy(id fleet.BackendID, owner fleet.NodeID) fleet.NodeID {
	var names []string
	for _, member := range e.members.Members() {
		if member.State == fleet.MemberAlive && member.ID != owner {
			names = append(names, string(member.ID))
		}
	}
	if len(names) == 0 {
		return ""
	}
	return fleet.NodeID(rendezvous.New(names, xxhash.Sum64String).Lookup(string(id)))
}
