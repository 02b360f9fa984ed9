// Package reducer applies the records of the fleet's stream to the replicated
// state. The state is a pure function of the records in their order, so that
// all nodes that have applied the records up to an offset hold the same state.
//
//	state, events := state.Apply(offset, record)
//	state, err := reducer.FromCheckpoint(checkpoint)
//
// Rules: a proposal is accepted only on the current revision, once for each
// operation identifier; an ejection only if the healthy capacity of its service
// stays at or above the minimum; as soon as the healthy capacity is below the
// minimum, for whatever reason, ejections are revoked, the oldest first. An
// operator's override replaces an ejection. Malformed and invalid records are
// skipped and reported as an event.
package reducer
