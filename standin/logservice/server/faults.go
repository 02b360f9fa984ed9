package server

// Faults are the faults in force.
type Faults struct {
	// Down answers every call of a stream with 503.
	Down bool `json:"down"`
	// Hang lets every call of a stream wait until its caller gives up.
	Hang bool `json:"hang"`
	// Slow delays every answer by this many milliseconds.
	Slow int `json:"slow"`
	// Lose takes the next appends, as many as this, without answering.
	Lose int `json:"lose"`
	// Retain keeps the last records, as many as this; 0 keeps all.
	Retain int `json:"retain"`
}
