package checkpointer

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/folder"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/keeper"
	"cowsliptally.example/cowsliptally/selector"
)

const (
	// every is how often the need is judged.
	every = 2 * time.Second
	// turn is how long each rank waits for the one before it.
	turn = 10 * time.Second
	// windowShare is the part of the kept records after which a checkpoint is due.
	windowShare = 4

	defaultInterval  = time.Hour
	defaultRecords   = 10_000
	defaultPartBytes = 512 << 10
)

// Checkpointer is one node's duty to append checkpoints.
type Checkpointer struct {
	self      fleet.NodeID
	keeper    Keeper
	members   func() []fleet.Member
	clock     clockwork.Clock
	interval  time.Duration
	records   uint64
	partBytes int
	seen      seen
}

// seen is the newest checkpoint in the stream as this node learned of it.
type seen struct {
	// checkpointed is what it covers; end the state's offset when it was noticed.
	checkpointed uint64
	end          uint64
	at           time.Time
	// due is when a checkpoint became due, or zero.
	due time.Time
}

// New returns the duty of the node self among the members.
func New(self fleet.NodeID, k Keeper, members func() []fleet.Member, options ...Option) *Checkpointer {
	c := &Checkpointer{
		self:      self,
		keeper:    k,
		members:   members,
		clock:     clockwork.NewRealClock(),
		interval:  defaultInterval,
		records:   defaultRecords,
		partBytes: defaultPartBytes,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Run appends checkpoints until ctx is done.
func (c *Checkpointer) Run(ctx context.Context) error {
	for {
		select {
		case <-c.clock.After(every):
		case <-ctx.Done():
			return ctx.Err()
		}
		if c.turn() {
			// A failure is tried again in a later round.
			_ = c.append(ctx)
		}
	}
}

// turn reports whether this node is to append a checkpoint now.
func (c *Checkpointer) turn() bool {
	state, window := c.keeper.State(), c.keeper.Window()
	now := c.clock.Now()
	if state.CheckpointEnd() != c.seen.checkpointed || c.seen.at.IsZero() {
		c.seen = seen{checkpointed: state.CheckpointEnd(), end: state.NextOffset(), at: now}
	}
	usable := c.keeper.Ready() && c.keeper.Status() == keeper.StatusUp && state.NextOffset() >= window.Next
	if !usable || !c.isDue(state, window, now) {
		c.seen.due = time.Time{}
		return false
	}
	if c.seen.due.IsZero() {
		c.seen.due = now
	}
	task := fmt.Sprintf("checkpoint/%d", state.CheckpointEnd())
	rank := selector.New(c.members()).Rank(c.self, task)
	return now.Sub(c.seen.due) >= time.Duration(rank)*turn
}

// isDue judges the need for a checkpoint, so that the newest one and all records
// after it are always kept.
func (c *Checkpointer) isDue(state folder.State, window keeper.Window, now time.Time) bool {
	if state.NextOffset() == 0 {
		return false
	}
	if now.Sub(c.seen.at) >= c.interval {
		return true
	}
	if state.NextOffset() <= c.seen.end {
		return false
	}
	uncovered := state.NextOffset() - state.CheckpointEnd()
	if uncovered >= c.records {
		return true
	}
	kept := window.Next - window.Oldest
	return window.Oldest > 0 && uncovered >= kept/windowShare
}

// append appends the state in as many parts as it needs.
func (c *Checkpointer) append(ctx context.Context) error {
	for _, part := range folder.Split(c.keeper.State().Checkpoint(), c.partBytes) {
		record := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Checkpoint{Checkpoint: part}}
		if err := c.keeper.Append(ctx, record); err != nil {
			return err
		}
	}
	return nil
}
