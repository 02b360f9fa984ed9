package server

// Faults are the faults that a Server injects. The zero value injects none.
type Faults struct {
	// Down answers every call of a stream with 503.
	Down bool `json:"down"`
	// Hang leaves every call of a stream unanswered until its caller gives up.
	Hang bool `json:"hang"`
	// Slow delays every answer by this many milliseconds.
	Slow int `json:"slow"`
	// Lose is the number of next appends that are stored but not answered.
	Lose int `json:"lose"`
	// Retain is the number of newest records kept in each stream; 0 keeps all.
	Retain int `json:"retain"`
}
