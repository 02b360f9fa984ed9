package fleet

import "time"

// Progress is how far a node follows the configuration.
type Progress struct {
	// Revision is the one in force.
	Revision Revision
	// NextOffset is the first offset of the fleet's stream whose record is not yet applied.
	NextOffset uint64
	// LastRead is the time of the newest answered read of the source by any node that the node
	// knows of, by the clock of whoever holds this value; zero if it knows of none.
	LastRead time.Time
}
