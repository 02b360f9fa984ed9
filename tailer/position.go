package tailer

// Position determines where a tailer reads and is notified of the result of each
// read. Its methods are called from one goroutine.
type Position interface {
	// Next returns the offset to read from; it is called before each read and
	// before each record.
	Next() uint64
	// ReadStarted is called before a read; ReadSucceeded, ReadExpired or ReadFailed
	// follows unless the delivery stopped early. It returns whether the read may wait
	// for the next record.
	ReadStarted() (wait bool)
	// ReadSucceeded is called after a read whose records were all handled. oldest is the
	// first offset that the log keeps, next the one after its last record.
	ReadSucceeded(oldest, next uint64)
	// ReadExpired is called when the log no longer keeps the record at Next; oldest and
	// next are as in ReadSucceeded.
	ReadExpired(oldest, next uint64)
	// ReadFailed is called after any other failed read.
	ReadFailed(err error)
}
