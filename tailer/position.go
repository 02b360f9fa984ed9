package tailer

// Position decides where a tailer reads and learns how the reading goes.
// Its methods are called from one goroutine.
type Position interface {
	// Next returns the offset to read from; it is asked before each record.
	Next() uint64
	// Began tells that a read begins; Reached, Expired or Failed follows. It
	// returns whether the read may wait for the next record.
	Began() (wait bool)
	// Reached tells that the read succeeded and its records were taken: oldest is the first kept offset, next the one after the last record.
	Reached(oldest, next uint64)
	// Expired tells that records from Next on are gone below oldest.
	Expired(oldest, next uint64)
	// Failed tells that a read failed.
	Failed(err error)
}
