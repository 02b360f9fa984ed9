package replicator

// Window is the range of records that the log service retains.
type Window struct {
	// Oldest is the first retained offset, Next the one after the last record.
	Oldest uint64
	Next   uint64
}
