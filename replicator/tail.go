package replicator

import (
	"context"

	"cowsliptally.example/cowsliptally/tailer"
)

// Tail delivers the records of a stream in order until ctx is done.
type Tail interface {
	Run(ctx context.Context, stream string, position tailer.Position, handle tailer.Handler) error
}
