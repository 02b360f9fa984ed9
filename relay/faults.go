package relay

// Direction says what happens to bytes that go one way.
type Direction struct {
	// Cut holds bytes back until the cut ends, as a network does whose
	// senders repeat what was lost.
	Cut bool `json:"cut"`
	// Delay is added to each chunk, in milliseconds.
	Delay int `json:"delay"`
}

// Faults says what happens in both directions. The zero value passes everything.
type Faults struct {
	// Forward is the way from the connecting side to the target.
	Forward Direction `json:"forward"`
	// Back is the way from the target to the connecting side.
	Back Direction `json:"back"`
	// Silent makes the connections open now lose all bytes for good; new ones work.
	Silent bool `json:"silent"`
	// Reset resets the connections open now; new ones work.
	Reset bool `json:"reset"`
}
