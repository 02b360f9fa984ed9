// Package folder folds the fleet's stream of records into one state. The fold
// is a pure function of the records in their order, so that every node that
// has folded up to an offset holds the same state.
//
//	state, events := state.Apply(offset, record)
//	state, err := folder.FromCheckpoint(checkpoint)
//
// Rules: a proposal is accepted only on the current revision, once for each
// operation identifier; an ejection only if the healthy capacity of its service
// stays at or above the minimum; as soon as the healthy capacity is below the
// minimum, for whatever reason, ejections are taken back, the oldest first. An
// operator's override replaces an ejection. Records that cannot be read or make
// no sense are skipped and reported as an event.
package folder
