package fleet

// Decision is whether an operator keeps a backend server in or out of rotation.
type Decision string

const (
	// DecisionIn keeps a backend server in rotation regardless of its health evaluation.
	DecisionIn Decision = "in"
	// DecisionOut keeps a backend server out of rotation regardless of its health evaluation.
	DecisionOut Decision = "out"
)

// Override is an operator's decision about one backend server.
type Override struct {
	Backend  BackendID
	Decision Decision
	Why      string
}

// Key returns the identifier under which a configuration holds the override.
func (o Override) Key() BackendID { return o.Backend }
