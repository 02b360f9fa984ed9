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

// memoryLog is a log service in memory that never fails.
type memoryLog struct {
	mu      sync.Mutex
	entries []logclient.Entry
}

func (m *memoryLog) Append(_ context.Context, _ string, payload []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offset := uint64(len(m.entries))
	m.entries = append(m.entries, logclient.Entry{Offset: offset, Payload: payload})
	return offset, nil
}

func (m *memoryLog) Read(_ context.Context, _ string, from uint64, _ time.Duration) (logclient.Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return logclient.Batch{Next: uint64(len(m.entries)), Entries: slices.Clone(m.entries[from:])}, nil
}

// position is the offset after the last record that the handler accepted.
type position struct{ next uint64 }

func (p *position) Next() uint64                 { return p.next }
func (p *position) ReadStarted() bool            { return true }
func (p *position) ReadSucceeded(uint64, uint64) {}
func (p *position) ReadExpired(uint64, uint64)   {}
func (p *position) ReadFailed(error)             {}

// TestDeliversInOrderAndRetriesAfterErrors guards against lost or reordered records
// when the handler fails once for each of them.
func TestDeliversInOrderAndRetriesAfterErrors(t *testing.T) {
	is := is.New(t)
	const records = 5
	log := &memoryLog{}
	bus := publisher.New(log)
	for i := range uint64(records) {
		offset, err := bus.Append(context.Background(), "fleet", fmt.Append(nil, i))
		is.NoErr(err)
		is.Equal(offset, i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	reader := &position{}
	failed := map[uint64]bool{}
	var accepted []string
	follower := New(tailer.New(log, tailer.WithBackoff(time.Microsecond, time.Microsecond)))
	err := follower.Run(ctx, "fleet", reader, func(_ context.Context, entry logclient.Entry) error {
		if !failed[entry.Offset] {
			failed[entry.Offset] = true
			return errors.New("first delivery fails")
		}
		accepted = append(accepted, string(entry.Payload))
		reader.next = entry.Offset + 1
		if len(accepted) == records {
			cancel()
		}
		return nil
	})
	is.NoErr(err)
	is.Equal(accepted, []string{"0", "1", "2", "3", "4"})
}
