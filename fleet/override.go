package fleet

// Decision is what an operator wants of one backend server.
type Decision string

const (
	// DecisionIn keeps a backend server in rotation whatever the verdict.
	DecisionIn Decision = "in"
	// DecisionOut keeps a backend server out of rotation.
	DecisionOut Decision = "out"
)

// Override is an operator's decision about one backend server.
type Override struct {
	Backend  BackendID
	Decision Decision
	Why      string
}

// Key returns the name under which a configuration holds the override.
func (o Override) Key() BackendID { return o.Backend }
