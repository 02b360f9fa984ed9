package tailer

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/logclient"
)

// Log is the reading half of an append-only log service.
type Log interface {
	// Read returns records from an offset on; it may wait for the first one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Batch, error)
}
