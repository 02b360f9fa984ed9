package fleet

// BackendState is the life cycle of a backend server as its owner sees it.
type BackendState uint8

const (
	// BackendStarting is a backend server that is not yet warm.
	BackendStarting BackendState = iota + 1
	// BackendReady is a backend server that takes new work.
	BackendReady
	// BackendDraining is a backend server that finishes its work and takes no more.
	BackendDraining
	// BackendGone is a backend server that left or whose lease lapsed.
	BackendGone
)

// String returns the state's name.
func (s BackendState) String() string {
	switch s {
	case BackendStarting:
		return "starting"
	case BackendReady:
		return "ready"
	case BackendDraining:
		return "draining"
	case BackendGone:
		return "gone"
	default:
		return "unspecified"
	}
}

// Backend is one backend server with the node that owns it, which is the only
// writer of the entry.
type Backend struct {
	ID      BackendID
	Service ServiceName
	Owner   NodeID
	Zone    Zone
	// Address is the IP and port of the backend server, reachable from its owner.
	Address string
	// Slots is the number of requests that it runs at a time.
	Slots int
	State BackendState
	// Sequence rises with each change by the owner.
	Sequence uint64
}

// WithState returns a copy in another state with the next sequence number.
func (b Backend) WithState(state BackendState) Backend {
	b.State = state
	b.Sequence++
	return b
}

// TakesWork reports whether new requests may be sent to it.
func (b Backend) TakesWork() bool {
	return b.State == BackendReady || b.State == BackendStarting
}

// Key returns the identifier.
func (b Backend) Key() BackendID { return b.ID }
