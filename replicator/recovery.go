package replicator

import "cowsliptally.example/cowsliptally/reducer"

// recovery is the search for a checkpoint after records expired before they were
// applied.
type recovery struct {
	// next is the next offset to search, oldest the first one that the log service
	// retains.
	next      uint64
	oldest    uint64
	assembler reducer.Assembler
}
