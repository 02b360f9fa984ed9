package fleet

// BackendState is the life-cycle state of a backend server, as its owner reports it.
type BackendState uint8

const (
	// BackendStarting is a backend server that accepts requests but is not yet warm.
	BackendStarting BackendState = iota + 1
	// BackendReady is a backend server that accepts requests.
	BackendReady
	// BackendDraining is a backend server that finishes its requests and accepts no new ones.
	BackendDraining
	// BackendGone is a backend server that left or whose lease expired.
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
	// Slots is the number of requests that it runs concurrently.
	Slots int
	State BackendState
	// Sequence increases with each change by the owner.
	Sequence uint64
	// Left is set once the backend server has said that it leaves. It is kept until the backend
	// server is gone, also if its owner is restarted and announces it again.
	Left bool
}

// WithState returns a copy in another state with the next sequence number.
func (b Backend) WithState(state BackendState) Backend {
	b.State = state
	b.Sequence++
	return b
}

// WithLeft returns a copy that takes no new requests because the backend server leaves.
func (b Backend) WithLeft() Backend {
	b.Left = true
	if b.State != BackendGone {
		b.State = BackendDraining
	}
	return b
}

// AcceptsRequests reports whether new requests may be sent to the backend server.
func (b Backend) AcceptsRequests() bool {
	return !b.Left && (b.State == BackendReady || b.State == BackendStarting)
}

// Key returns the identifier under which an index holds the backend server.
func (b Backend) Key() BackendID { return b.ID }
