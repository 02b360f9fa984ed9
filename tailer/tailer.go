package tailer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/logclient"
)

const (
	defaultWait         = 5 * time.Second
	defaultFirstPause   = 100 * time.Millisecond
	defaultLongestPause = 2 * time.Second
)

// Tailer delivers the records of one log service.
type Tailer struct {
	log          Log
	clock        clockwork.Clock
	wait         time.Duration
	firstPause   time.Duration
	longestPause time.Duration
}

// New returns a tailer of a log service.
func New(log Log, options ...Option) *Tailer {
	t := &Tailer{
		log:          log,
		clock:        clockwork.NewRealClock(),
		wait:         defaultWait,
		firstPause:   defaultFirstPause,
		longestPause: defaultLongestPause,
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Run delivers the records of a stream, from position.Next on, until ctx is done.
func (t *Tailer) Run(ctx context.Context, stream string, position Position, handle Handler) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = t.firstPause
	pauses.MaxInterval = t.longestPause
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if position.ReadStarted() {
			wait = t.wait
		}
		batch, err := t.log.Read(ctx, stream, position.Next(), wait)
		if ctx.Err() != nil {
			break
		}
		if logclient.KindOf(err) == logclient.KindExpired {
			position.ReadExpired(batch.Oldest, batch.Next)
			t.pause(ctx, t.firstPause)
			continue
		}
		if err != nil {
			position.ReadFailed(err)
			t.pause(ctx, pauses.NextBackOff())
			continue
		}
		pauses.Reset()
		if t.deliver(ctx, batch, position, handle) {
			position.ReadSucceeded(batch.Oldest, batch.Next)
		}
		if wait == 0 && len(batch.Entries) == 0 {
			t.pause(ctx, t.firstPause)
		}
	}
	return ctx.Err()
}

// deliver passes the records of a batch to the handler. It stops early and returns
// false when position.Next moved below the next record meanwhile or ctx is done.
func (t *Tailer) deliver(ctx context.Context, batch logclient.Batch, position Position, handle Handler) bool {
	for _, entry := range batch.Entries {
		next := position.Next()
		if next > entry.Offset {
			continue
		}
		if next < entry.Offset || !t.deliverEntry(ctx, entry, handle) {
			return false
		}
	}
	return true
}

// deliverEntry passes one record to the handler until it succeeds or ctx is done.
func (t *Tailer) deliverEntry(ctx context.Context, entry logclient.Entry, handle Handler) bool {
	for ctx.Err() == nil {
		if handle(ctx, entry) == nil {
			return true
		}
		t.pause(ctx, t.firstPause)
	}
	return false
}

func (t *Tailer) pause(ctx context.Context, length time.Duration) {
	select {
	case <-t.clock.After(length):
	case <-ctx.Done():
	}
}
