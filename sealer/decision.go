package sealer

// Decision is the decision whether an attempt may be dispatched.
type Decision uint8

const (
	// Begun permits the attempt; it counts as dispatched from now on.
	Begun Decision = iota + 1
	// Sealed refuses the attempt because it was sealed.
	Sealed
	// Stale refuses the attempt because its ticket is invalid or too old to determine whether it
	// was sealed.
	Stale
	// Duplicate refuses the attempt because the submission was dispatched before.
	Duplicate
)
