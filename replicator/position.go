package replicator

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
)

// position implements tailer.Position for a Keeper.
type position Replicator

// Next returns the next offset to apply, or to search for a checkpoint.
func (p *position) Next() uint64 {
	k := (*Replicator)(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recovery != nil {
		return k.recovery.next
	}
	return k.State().NextOffset()
}

// ReadStarted records that a read begins. The read may wait for records unless the log
// was down or the state must first be compared with the log's end.
func (p *position) ReadStarted() (wait bool) {
	k := (*Replicator)(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pausesAtRead = k.pauses
	k.offsetAtRead = k.State().NextOffset()
	return k.recovery != nil || (k.current && k.status == StatusUp)
}

// ReadSucceeded records that the log was read. A log that ends before the records that
// were already applied is not the fleet's log or has lost records, so the read
// counts as failed.
func (p *position) ReadSucceeded(oldest, next uint64) {
	k := (*Replicator)(p)
	k.mu.Lock()
	if applied := k.offsetAtRead; next < applied {
		k.mu.Unlock()
		p.ReadFailed(fmt.Errorf("the log ends at offset %d, but this node has applied records up to offset %d", next, applied))
		return
	}
	k.window = Window{Oldest: oldest, Next: next}
	k.lastRead = k.clock.Now()
	before := k.status
	if k.recovery == nil {
		k.status = StatusUp
	}
	if k.recovery == nil && k.State().NextOffset() >= next {
		k.everCurrent = true
		k.current = k.current || (k.pausesAtRead == k.pauses && !k.pauseDetector.paused())
		k.broadcast()
	}
	after := k.status
	k.mu.Unlock()
	k.reportStatus(before, after, "the log service responds")
}

// ReadExpired starts the search for a checkpoint.
func (p *position) ReadExpired(oldest, next uint64) {
	k := (*Replicator)(p)
	k.mu.Lock()
	before := k.status
	k.window = Window{Oldest: oldest, Next: next}
	k.recovery = &recovery{next: oldest, oldest: oldest}
	k.status = StatusExpired
	k.current = false
	k.broadcast()
	k.mu.Unlock()
	reason := fmt.Sprintf("records before offset %d expired before this node read them", oldest)
	k.reportStatus(before, StatusExpired, reason)
	k.triggerQuery()
}

// ReadFailed records that the log could not be read.
func (p *position) ReadFailed(err error) {
	k := (*Replicator)(p)
	k.mu.Lock()
	before := k.status
	k.status = StatusDown
	k.broadcast()
	k.mu.Unlock()
	k.reportStatus(before, StatusDown, err.Error())
	k.triggerQuery()
}

func (k *Replicator) reportStatus(before, after Status, reason string) {
	if before != after {
		k.recorder.Record(fleet.NewEvent(fleet.EventLogService, string(after), reason))
	}
}
