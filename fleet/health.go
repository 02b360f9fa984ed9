package fleet

// Health is a backend server's health as evaluated by a node.
type Health uint8

const (
	// Healthy is a backend server that gets its full share of requests.
	Healthy Health = iota + 1
	// Degraded is a backend server that this node, independently of the others, does not
	// use while other backend servers have capacity.
	Degraded
	// Ejected is a backend server that the whole fleet has removed from rotation.
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
