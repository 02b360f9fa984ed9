package sealer

// Verdict says whether an attempt may be dispatched.
type Verdict uint8

const (
	// Begun lets the attempt be dispatched; it counts as dispatched from now on.
	Begun Verdict = iota + 1
	// Sealed refuses the attempt because it was sealed.
	Sealed
	// Stale refuses the attempt because its ticket is too old to know whether it was sealed.
	Stale
	// Duplicate refuses the attempt because the submission was dispatched before.
	Duplicate
)
