package quarantiner

// Status is the status of an identity.
type Status uint8

const (
	// Clean is an identity without a recorded crash.
	Clean Status = iota + 1
	// Suspect is an identity that was in a slot of one crashed backend server.
	Suspect
	// Poison is an identity that was in slots of two crashed backend servers and
	// never ran to its end in between.
	Poison
)
