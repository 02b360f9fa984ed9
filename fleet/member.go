package fleet

// MemberState is the liveness of a node as observed by its peers.
type MemberState uint8

const (
	// MemberAlive is a node that answers.
	MemberAlive MemberState = iota + 1
	// MemberSuspect is a node that did not answer and may still refute the suspicion.
	MemberSuspect
	// MemberDead is a node that did not refute a suspicion in time.
	MemberDead
	// MemberLeft is a node that announced its departure.
	MemberLeft
)

// String returns the state's name.
func (s MemberState) String() string {
	switch s {
	case MemberAlive:
		return "alive"
	case MemberSuspect:
		return "suspect"
	case MemberDead:
		return "dead"
	case MemberLeft:
		return "left"
	default:
		return "unspecified"
	}
}

// Member is one node of the fleet.
type Member struct {
	ID NodeID
	// Incarnation increases when the node refutes a suspicion.
	Incarnation   uint64
	PeerAddress   string
	CallerAddress string
	Zone          Zone
	Region        Region
	State         MemberState
}

// IsLive reports whether the node may still answer, that is, whether it is alive or suspect.
func (m Member) IsLive() bool { return m.State == MemberAlive || m.State == MemberSuspect }

// WithState returns a copy in another state.
func (m Member) WithState(state MemberState) Member {
	m.State = state
	return m
}

// WithIncarnation returns a copy with another incarnation.
func (m Member) WithIncarnation(incarnation uint64) Member {
	m.Incarnation = incarnation
	return m
}
