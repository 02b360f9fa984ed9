package checkpointer

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/selector"
)

const (
	// checkInterval is the time between two checks for a due checkpoint.
	checkInterval = 2 * time.Second
	// rankDelay is how long the node of each rank waits for the one before it.
	rankDelay = 10 * time.Second
	// windowDivisor limits the records that no checkpoint covers: a checkpoint is
	// due when they reach 1/windowDivisor of the retained records.
	windowDivisor = 4

	defaultMaxInterval = time.Hour
	defaultMaxRecords  = 10_000
	defaultPartBytes   = 512 << 10
)

// Checkpointer appends checkpoints at one node.
type Checkpointer struct {
	self             fleet.NodeID
	replicator       Replicator
	members          func() []fleet.Member
	clock            clockwork.Clock
	maxInterval      time.Duration
	maxRecords       uint64
	partBytes        int
	recorder         Recorder
	latestCheckpoint latestCheckpoint
}

// latestCheckpoint describes the newest checkpoint that this node has read from
// the stream.
type latestCheckpoint struct {
	// coveredEnd is the first offset that it does not cover, stateEnd the state's
	// next offset when it was observed.
	coveredEnd uint64
	stateEnd   uint64
	observedAt time.Time
	// dueSince is when the next checkpoint became due, or zero.
	dueSince time.Time
}

// New returns the Checkpointer of the node self among the members.
func New(self fleet.NodeID, k Replicator, members func() []fleet.Member, options ...Option) *Checkpointer {
	c := &Checkpointer{
		self:        self,
		replicator:  k,
		members:     members,
		clock:       clockwork.NewRealClock(),
		maxInterval: defaultMaxInterval,
		maxRecords:  defaultMaxRecords,
		recorder:    noop{},
		partBytes:   defaultPartBytes,
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
		case <-c.clock.After(checkInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
		if c.shouldAppend() {
			c.appendAndRecord(ctx)
		}
	}
}

// shouldAppend reports whether this node should append a checkpoint now.
func (c *Checkpointer) shouldAppend() bool {
	state, window := c.replicator.State(), c.replicator.Window()
	now := c.clock.Now()
	if state.CheckpointEnd() != c.latestCheckpoint.coveredEnd || c.latestCheckpoint.observedAt.IsZero() {
		c.latestCheckpoint = latestCheckpoint{coveredEnd: state.CheckpointEnd(), stateEnd: state.NextOffset(), observedAt: now}
	}
	usable := c.replicator.Ready() && c.replicator.Status() == replicator.StatusUp && state.NextOffset() >= window.Next
	if !usable || !c.isDue(state, window, now) {
		c.latestCheckpoint.dueSince = time.Time{}
		return false
	}
	if c.latestCheckpoint.dueSince.IsZero() {
		c.latestCheckpoint.dueSince = now
	}
	task := fmt.Sprintf("checkpoint/%d", state.CheckpointEnd())
	rank := selector.New(c.members()).Rank(c.self, task)
	return now.Sub(c.latestCheckpoint.dueSince) >= time.Duration(rank)*rankDelay
}

// isDue reports whether a checkpoint is due, so that the log service always
// retains the newest one and all records after it.
func (c *Checkpointer) isDue(state reducer.State, window replicator.Window, now time.Time) bool {
	if state.NextOffset() == 0 {
		return false
	}
	if now.Sub(c.latestCheckpoint.observedAt) >= c.maxInterval {
		return true
	}
	if state.NextOffset() <= c.latestCheckpoint.stateEnd {
		return false
	}
	uncovered := state.NextOffset() - state.CheckpointEnd()
	if uncovered >= c.maxRecords {
		return true
	}
	retained := window.Next - window.Oldest
	return window.Oldest > 0 && uncovered >= retained/windowDivisor
}

// appendAndRecord appends a checkpoint and records a failure; a later round tries again.
func (c *Checkpointer) appendAndRecord(ctx context.Context) {
	err := c.append(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	event := fleet.NewEvent(fleet.EventSkipped, "checkpoint", err.Error(),
		fleet.Figure{Name: "offset", Value: float64(c.replicator.State().NextOffset())})
	c.recorder.Record(event)
}

// append appends the state in as many parts as needed.
func (c *Checkpointer) append(ctx context.Context) error {
	for _, part := range reducer.Split(c.replicator.State().Checkpoint(), c.partBytes) {
		record := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Checkpoint{Checkpoint: part}}
		if err := c.replicator.Append(ctx, record); err != nil {
			return err
		}
	}
	return nil
}
