// Package publisher appends watermill messages to an append-only log service.
package publisher

import (
	"context"
	"strconv"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
)

// OffsetKey is the metadata key under which messages carry their offset.
const OffsetKey = "offset"

// Log appends to a log service.
type Log interface {
	// Append adds a record and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
}

// Publisher implements watermill's message.Publisher. It never retries an append.
type Publisher struct {
	log Log
}

// New returns a publisher for a log service.
func New(log Log) *Publisher {
	return &Publisher{log: log}
}

// Publish appends messages to the stream in order, sets their offsets and stops
// at the first failure.
func (p *Publisher) Publish(stream string, messages ...*message.Message) error {
	for _, m := range messages {
		offset, err := p.log.Append(m.Context(), stream, m.Payload)
		if err != nil {
			return err
		}
		m.Metadata.Set(OffsetKey, strconv.FormatUint(offset, 10))
	}
	return nil
}

// Append publishes one record and returns its offset.
func (p *Publisher) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	m := message.NewMessageWithContext(ctx, watermill.NewUUID(), payload)
	if err := p.Publish(stream, m); err != nil {
		return 0, err
	}
	return Offset(m)
}

// Close does nothing: messages are not buffered.
func (*Publisher) Close() error {
	return nil
}

// Offset returns the offset that a message carries.
func Offset(m *message.Message) (uint64, error) {
	return strconv.ParseUint(m.Metadata.Get(OffsetKey), 10, 64)
}
