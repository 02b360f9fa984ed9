package logclient

// Entry is one record with its offset in the stream.
type Entry struct {
	Offset  uint64 `json:"offset"`
	Payload []byte `json:"payload"`
}

// Batch is the result of one read.
type Batch struct {
	// Oldest is the first offset that the log service still keeps.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append will get.
	Next    uint64  `json:"next"`
	Entries []Entry `json:"records"`
}
