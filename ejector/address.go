package ejector

import (
	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// report is evidence that is sent to one node.
type report struct {
	to      fleet.NodeID
	request *cowsliptallyv1.TestifyRequest
}

// reports returns this node's evidence, grouped by the nodes that receive it.
func (e *Ejector) reports() []report {
	byNode := map[fleet.NodeID]*cowsliptallyv1.TestifyRequest{}
	var order []fleet.NodeID
	for _, evidence := range e.evaluator.Evidence() {
		for _, node := range e.recipients(evidence.Backend) {
			if byNode[node] == nil {
				byNode[node] = &cowsliptallyv1.TestifyRequest{}
				order = append(order, node)
			}
			byNode[node].Evidence = append(byNode[node].Evidence, e.message(evidence))
		}
	}
	list := make([]report, 0, len(order))
	for _, node := range order {
		list = append(list, report{to: node, request: byNode[node]})
	}
	return list
}

// recipients returns the owner and the backup node of a backend server, without
// this node.
func (e *Ejector) recipients(id fleet.BackendID) []fleet.NodeID {
	backend, joined := e.state.Backend(id)
	if !joined {
		return nil
	}
	var nodes []fleet.NodeID
	if backend.Owner != e.node {
		nodes = append(nodes, backend.Owner)
	}
	backup := e.backupNode(id, backend.Owner)
	if backup != "" && backup != e.node {
		nodes = append(nodes, backup)
	}
	return nodes
}

// backupNode returns the node that proposes ejections of a backend server when its
// owner does not.
func (e *Ejector) backupNode(id fleet.BackendID, owner fleet.NodeID) fleet.NodeID {
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
