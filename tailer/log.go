package tailer

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/logclient"
)

// Log reads from an append-only log service.
type Log interface {
	// Read returns the records from an offset on; it may wait up to wait for the first one.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (logclient.Batch, error)
}
