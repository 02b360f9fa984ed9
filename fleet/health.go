package fleet

// Health is the trust that a node puts in a backend server.
type Health uint8

const (
	// Healthy is a backend server that gets its full share.
	Healthy Health = iota + 1
	// Degraded is a backend server that this node alone avoids while others have room.
	Degraded
	// Ejected is a backend server that the fleet agreed to set aside.
	Ejected
)

// String returns the state's name.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Degraded:
		return "degraded"
	case Ejected:
		return "ejected"
	default:
		return "unspecified"
	}
}
