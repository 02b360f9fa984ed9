package replicator

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/logclient"
)

// Stream is the name of the fleet's stream in the log service.
const Stream = "fleet"

// Log is an append-only log service.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns records from an offset on; it may wait for the first one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Batch, error)
}
