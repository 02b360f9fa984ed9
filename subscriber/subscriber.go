// Package subscriber delivers the records of an append-only log service as
// watermill messages.
package subscriber

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/publisher"
	"cowsliptally.example/cowsliptally/tailer"
)

// errNotAcknowledged makes the tailer deliver a record again.
var errNotAcknowledged = errors.New("the record was not acknowledged")

// Subscriber implements watermill's message.Subscriber over a tailer. A record is
// delivered only after the previous one was acknowledged.
type Subscriber struct {
	tail     *tailer.Tailer
	position tailer.Position

	cancelAll context.CancelFunc
	closed    context.Context
	readers   sync.WaitGroup
}

// New returns a subscriber that reads from position.Next on.
func New(tail *tailer.Tailer, position tailer.Position) *Subscriber {
	closed, cancelAll := context.WithCancel(context.Background())
	return &Subscriber{tail: tail, position: position, cancelAll: cancelAll, closed: closed}
}

// Subscribe delivers the records of a stream until ctx is done or Close is called.
func (s *Subscriber) Subscribe(ctx context.Context, stream string) (<-chan *message.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.closed, cancel)
	messages := make(chan *message.Message)
	s.readers.Go(func() {
		defer close(messages)
		defer cancel()
		defer stop()
		// Run returns only when ctx is done.
		_ = s.tail.Run(ctx, stream, s.position, func(ctx context.Context, entry logclient.Entry) error {
			return deliver(ctx, entry, messages)
		})
	})
	return messages, nil
}

// Close ends all subscriptions.
func (s *Subscriber) Close() error {
	s.cancelAll()
	s.readers.Wait()
	return nil
}

// deliver sends one record as a message and waits until it is acknowledged.
func deliver(ctx context.Context, entry logclient.Entry, messages chan<- *message.Message) error {
	m := message.NewMessageWithContext(ctx, watermill.NewUUID(), entry.Payload)
	m.Metadata.Set(publisher.OffsetKey, strconv.FormatUint(entry.Offset, 10))
	select {
	case messages <- m:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-m.Acked():
		return nil
	case <-m.Nacked():
		return errNotAcknowledged
	case <-ctx.Done():
		return ctx.Err()
	}
}
