// Package follower delivers a stream of the log service through a watermill router.
package follower

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/publisher"
	"cowsliptally.example/cowsliptally/subscriber"
	"cowsliptally.example/cowsliptally/tailer"
)

// Follower delivers the records of one log service to a handler.
type Follower struct {
	tail *tailer.Tailer
}

// New returns a follower over a tailer of the log service.
func New(tail *tailer.Tailer) *Follower {
	return &Follower{tail: tail}
}

// Run delivers the records of a stream in order until ctx is done; a record is
// delivered again after the handler returned an error.
func (f *Follower) Run(ctx context.Context, stream string, position tailer.Position, handle tailer.Handler) error {
	router, err := message.NewRouter(message.RouterConfig{}, watermill.NopLogger{})
	if err != nil {
		return err
	}
	records := subscriber.New(f.tail, position)
	router.AddConsumerHandler(stream, stream, records, func(m *message.Message) error {
		offset, err := publisher.Offset(m)
		if err != nil {
			return err
		}
		return handle(m.Context(), logclient.Entry{Offset: offset, Payload: m.Payload})
	})
	return router.Run(ctx)
}
