package verifier

// Verdict is what is known about a silent connection.
type Verdict uint8

const (
	// Unreachable means that the address does not answer over a fresh connection either.
	Unreachable Verdict = iota
	// Reachable means that the address answers, and that nothing shows that the connection was
	// cut: the server may be at work.
	Reachable
	// Cut means that the address answers over fresh connections only.
	Cut
)
