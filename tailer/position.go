package tailer

// Position determines where a tailer reads and is notified of the result of each
// read. Its methods are called from one goroutine.
type Position interface {
	// Next returns the offset to read from; it is called before each read and
	// before each record.
	Next() uint64
	// Began is called before a read; Reached, Expired or Failed follows unless the
	// delivery stopped early. It returns whether the read may wait for the next
	// record.
	Began() (wait bool)
	// Reached is called after a read whose records were all handled. oldest is the
	// first offset that the log keeps, next the one after its last record.
	Reached(oldest, next uint64)
	// Expired is called when the log no longer keeps the record at Next; oldest and
	// next are as in Reached.
	Expired(oldest, next uint64)
	// Failed is called after any other failed read.
	Failed(err error)
}
