package quarantiner

// Status is the status of an identity.
type Status uint8

const (
	// Clean is an identity without a crash that is not cleared.
	Clean Status = iota + 1
	// Suspect is an identity that was in slots of backend servers that crashed, and that has not been
	// tried since.
	Suspect
	// Poison is an identity whose trial request was running on a backend server that crashed.
	Poison
)
