package follower

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/publisher"
	"cowsliptally.example/cowsliptally/tailer"
)

// memory is a log service that never fails.
type memory struct {
	mu      sync.Mutex
	entries []logclient.Entry
}

func (m *memory) Append(_ context.Context, _ string, payload []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offset := uint64(len(m.entries))
	m.entries = append(m.entries, logclient.Entry{Offset: offset, Payload: payload})
	return offset, nil
}

func (m *memory) Read(_ context.Context, _ string, from uint64, _ time.Duration) (logclient.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return logclient.Batch{Next: uint64(len(m.entries)), Entries: slices.Clone(m.entries[from:])}, nil
}

// place reads on from what the handler took.
type place struct{ next uint64 }

func (p *place) Next() uint64           { return p.next }
func (p *place) Began() bool            { return true }
func (p *place) Reached(uint64, uint64) {}
func (p *place) Expired(uint64, uint64) {}
func (p *place) Failed(error)           {}

// TestDeliversInOrderAndAgainAfterErrors publishes records and refuses each once.
func TestDeliversInOrderAndAgainAfterErrors(t *testing.T) {
	is := is.New(t)
	const records = 5
	log := &memory{}
	bus := publisher.New(log)
	for i := range uint64(records) {
		offset, err := bus.Append(context.Background(), "fleet", fmt.Append(nil, i))
		is.NoErr(err)
		is.Equal(offset, i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	position := &place{}
	refused := map[uint64]bool{}
	var taken []string
	follower := New(tailer.New(log, tailer.WithBackoff(time.Microsecond, time.Microsecond)))
	err := follower.Run(ctx, "fleet", position, func(_ context.Context, entry logclient.Entry) error {
		if !refused[entry.Offset] {
			refused[entry.Offset] = true
			return errors.New("not yet")
		}
		taken = append(taken, string(entry.Payload))
		position.next = entry.Offset + 1
		if len(taken) == records {
			cancel()
		}
		return nil
	})
	is.NoErr(err)
	is.Equal(taken, []string{"0", "1", "2", "3", "4"})
}
