package keeper

import (
	"fmt"

	"cowsliptally.example/cowsliptally/fleet"
)

// position is the keeper as its tail sees it.
type position Keeper

// Next returns the next offset to fold, or to search for a checkpoint.
func (p *position) Next() uint64 {
	k := (*Keeper)(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recovery != nil {
		return k.recovery.at
	}
	return k.State().NextOffset()
}

// Began notes that a read begins; it may wait unless the log was down or the
// state has to be compared with the log's end first.
func (p *position) Began() (wait bool) {
	k := (*Keeper)(p)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pausesAtRead = k.pauses
	k.offsetAtRead = k.State().NextOffset()
	return k.recovery != nil || (k.current && k.status == StatusUp)
}

// Reached tells that the log was read. A log that ends before what was folded
// already is not the fleet's log, or has lost records.
func (p *position) Reached(oldest, next uint64) {
	k := (*Keeper)(p)
	k.mu.Lock()
	if folded := k.offsetAtRead; next < folded {
		k.mu.Unlock()
		p.Failed(fmt.Errorf("the log ends at offset %d, this node has folded it up to offset %d", next, folded))
		return
	}
	k.window = Window{Oldest: oldest, Next: next}
	k.confirmed = k.clock.Now()
	before := k.status
	if k.recovery == nil {
		k.status = StatusUp
	}
	if k.recovery == nil && k.State().NextOffset() >= next {
		k.known = true
		k.current = k.current || (k.pausesAtRead == k.pauses && !k.watch.paused())
		k.broadcast()
	}
	after := k.status
	k.mu.Unlock()
	k.reportStatus(before, after, "the log service answers")
}

// Expired begins the search for a checkpoint.
func (p *position) Expired(oldest, next uint64) {
	k := (*Keeper)(p)
	k.mu.Lock()
	before := k.status
	k.window = Window{Oldest: oldest, Next: next}
	k.recovery = &recovery{at: oldest, oldest: oldest}
	k.status = StatusExpired
	k.current = false
	k.broadcast()
	k.mu.Unlock()
	reason := fmt.Sprintf("records up to offset %d expired before this node read them", oldest)
	k.reportStatus(before, StatusExpired, reason)
	k.wakePeers()
}

// Failed tells that the log could not be read.
func (p *position) Failed(err error) {
	k := (*Keeper)(p)
	k.mu.Lock()
	before := k.status
	k.status = StatusDown
	k.broadcast()
	k.mu.Unlock()
	k.reportStatus(before, StatusDown, err.Error())
	k.wakePeers()
}

func (k *Keeper) reportStatus(before, after Status, reason string) {
	if before != after {
		k.recorder.Record(fleet.NewEvent(fleet.EventLog, string(after), reason))
	}
}
