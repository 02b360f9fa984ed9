package roster

import "cowsliptally.example/cowsliptally/fleet"

// NewerMember reports whether a replaces b: by incarnation, then by state.
func NewerMember(a, b fleet.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// NewerBackend reports whether a replaces b: by sequence number. Two owners have
// the same number only while a backend server moves between nodes; the greater
// identifier wins on every node until the actual owner raises the number. Of versions that
// are equal otherwise, the one that says that the backend server left replaces the other.
func NewerBackend(a, b fleet.Backend) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	if a.Owner != b.Owner {
		return a.Owner > b.Owner
	}
	return a.Left && !b.Left
}
