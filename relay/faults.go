package relay

// DirectionFaults is the faults of one direction.
type DirectionFaults struct {
	// Cut holds bytes back until the cut ends, as in a network whose senders
	// retransmit lost packets.
	Cut bool `json:"cut"`
	// Delay is the delay of each chunk, in milliseconds.
	Delay int `json:"delay"`
}

// Faults are the faults of a relay. The zero value forwards everything.
type Faults struct {
	// Forward is the direction from the connecting side to the target.
	Forward DirectionFaults `json:"forward"`
	// Back is the direction from the target to the connecting side.
	Back DirectionFaults `json:"back"`
	// Silent makes the open connections drop all bytes permanently. New ones work.
	Silent bool `json:"silent"`
	// Reset resets the open connections. New ones work.
	Reset bool `json:"reset"`
}
