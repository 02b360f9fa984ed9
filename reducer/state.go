package reducer

import (
	"iter"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/indexer"
)

const (
	// maxResults is the number of latest proposal results that are kept.
	maxResults = 4096
	// maxHistory is the number of latest accepted changes that are kept.
	maxHistory = 1024
)

// State is the replicated state after the records of the fleet's stream up to
// an offset. The zero value is the state of the empty stream. It is immutable
// and safe for concurrent use.
type State struct {
	configuration fleet.Configuration
	nextOffset    uint64
	checkpointEnd uint64
	// partialCheckpoint is the checkpoint whose parts are being received.
	partialCheckpoint partialCheckpoint
	backends          indexer.Index[fleet.BackendID, fleet.Backend]
	groups            indexer.Index[fleet.ServiceName, group]
	ejections         indexer.Index[fleet.BackendID, ejection]
	// results and history are copied on write.
	results []*cowsliptallyv1.Verdict
	history []*cowsliptallyv1.Revision
}

// Configuration returns the configuration in force.
func (s State) Configuration() fleet.Configuration { return s.configuration }

// NextOffset returns the offset of the next record to apply.
func (s State) NextOffset() uint64 { return s.nextOffset }

// CheckpointEnd returns the first offset that the newest checkpoint in the
// stream does not cover, or 0 without a checkpoint.
func (s State) CheckpointEnd() uint64 { return s.checkpointEnd }

// Backend returns a joined backend server.
func (s State) Backend(id fleet.BackendID) (fleet.Backend, bool) {
	return s.backends.Get(id)
}

// Backends returns the joined backend servers of a service, sorted by identifier.
func (s State) Backends(service fleet.ServiceName) []fleet.Backend {
	g, _ := s.groups.Get(service)
	backends := make([]fleet.Backend, 0, len(g.members))
	for _, id := range g.members {
		backend, _ := s.backends.Get(id)
		backends = append(backends, backend)
	}
	return backends
}

// Joined returns all joined backend servers, sorted by identifier.
func (s State) Joined() []fleet.Backend {
	return slices.SortedFunc(s.backends.All(), compareBackends)
}

// EachJoined yields all joined backend servers in no particular order.
func (s State) EachJoined() iter.Seq[fleet.Backend] { return s.backends.All() }

// Ejected returns the accepted ejection of a backend server.
func (s State) Ejected(id fleet.BackendID) (*cowsliptallyv1.Ejection, bool) {
	found, ok := s.ejections.Get(id)
	return found.record, ok
}

// HealthySlots returns the slots of a service's joined backend servers that are
// neither ejected nor kept out by an override.
func (s State) HealthySlots(service fleet.ServiceName) int {
	g, _ := s.groups.Get(service)
	return g.healthy
}

// Slots returns the slots of all joined backend servers of a service.
func (s State) Slots(service fleet.ServiceName) int {
	g, _ := s.groups.Get(service)
	return g.slots
}

// Result returns the result of a proposal by its operation identifier, if it is
// among the latest results that are kept.
func (s State) Result(operation string) (*cowsliptallyv1.Verdict, bool) {
	for _, result := range slices.Backward(s.results) {
		if result.GetOperation() == operation {
			return result, true
		}
	}
	return nil, false
}

// History returns up to limit of the latest accepted changes, newest first; 0
// returns all that are kept.
func (s State) History(limit int) []*cowsliptallyv1.Revision {
	if limit <= 0 || limit > len(s.history) {
		limit = len(s.history)
	}
	latest := slices.Clone(s.history[len(s.history)-limit:])
	slices.Reverse(latest)
	return latest
}

func compareBackends(a, b fleet.Backend) int {
	if a.ID < b.ID {
		return -1
	}
	if a.ID > b.ID {
		return 1
	}
	return 0
}
