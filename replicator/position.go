package replicator

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
)

// position implements tailer.Position for a Replicator.
type position Replicator

// Next returns the next offset to apply, or to search for a checkpoint.
func (p *position) Next() uint64 {
	r := (*Replicator)(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recovery != nil {
		return r.recovery.next
	}
	return r.State().NextOffset()
}

// ReadStarted records that a read begins. The read may wait for records unless the log
// was down or the state must first be compared with the log's end.
func (p *position) ReadStarted() (wait bool) {
	r := (*Replicator)(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausesAtRead = r.pauses
	r.offsetAtRead = r.State().NextOffset()
	return r.recovery != nil || (r.current && r.status == StatusUp)
}

// ReadSucceeded records that the log was read. A log that ends before the records that
// were already applied is not the fleet's log or has lost records, so the read
// counts as failed.
func (p *position) ReadSucceeded(oldest, next uint64) {
	r := (*Replicator)(p)
	r.mu.Lock()
	if applied := r.offsetAtRead; next < applied {
		r.mu.Unlock()
		p.ReadFailed(fmt.Errorf("the log ends at offset %d, this node has folded it up to offset %d", next, applied))
		return
	}
	r.window = Window{Oldest: oldest, Next: next}
	r.lastRead = r.clock.Now()
	before := r.status
	if r.recovery == nil {
		r.status = StatusUp
	}
	if r.recovery == nil && r.State().NextOffset() >= next {
		r.everCurrent = true
		r.current = r.current || (r.pausesAtRead == r.pauses && !r.pauseDetector.paused())
		r.broadcast()
	}
	after := r.status
	r.mu.Unlock()
	r.reportStatus(before, after, "the log service answers")
}

// ReadExpired starts the search for a checkpoint.
func (p *position) ReadExpired(oldest, next uint64) {
	r := (*Replicator)(p)
	r.mu.Lock()
	before := r.status
	r.window = Window{Oldest: oldest, Next: next}
	r.recovery = &recovery{next: oldest, oldest: oldest}
	r.status = StatusExpired
	r.current = false
	r.broadcast()
	r.mu.Unlock()
	reason := fmt.Sprintf("records up to offset %d expired before this node read them", oldest)
	r.reportStatus(before, StatusExpired, reason)
	r.triggerQuery()
}

// ReadFailed records that the log could not be read.
func (p *position) ReadFailed(err error) {
	r := (*Replicator)(p)
	r.mu.Lock()
	before := r.status
	r.status = StatusDown
	r.broadcast()
	r.mu.Unlock()
	r.reportStatus(before, StatusDown, err.Error())
	r.triggerQuery()
}

func (r *Replicator) reportStatus(before, after Status, reason string) {
	if before != after {
		r.recorder.Record(fleet.NewEvent(fleet.EventLogService, string(after), reason))
	}
}
