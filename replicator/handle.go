package replicator

import (
	"context"

	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/reducer"
)

// handle processes one record from the tail.
func (r *Replicator) handle(_ context.Context, entry logclient.Entry) error {
	r.mu.Lock()
	var events []fleet.Event
	if r.recovery != nil {
		events = r.searchCheckpoint(entry)
	} else {
		events = r.applyRecord(entry.Offset, entry.Payload)
	}
	r.mu.Unlock()
	r.record(events)
	return nil
}

// applyRecord applies one record if it is the next one; the caller holds mu.
func (r *Replicator) applyRecord(offset uint64, payload []byte) []fleet.Event {
	state := r.State()
	if offset != state.NextOffset() {
		return nil
	}
	next, events := state.ApplyPayload(offset, payload)
	r.state.Store(&next)
	r.recentRecords.add(offset, payload)
	r.broadcast()
	return events
}

// searchCheckpoint checks whether one record completes a checkpoint that covers
// the expired records, and adopts it; the caller holds mu.
func (r *Replicator) searchCheckpoint(entry logclient.Entry) []fleet.Event {
	r.recovery.next = entry.Offset + 1
	record := &cowsliptallyv1.Record{}
	if err := proto.Unmarshal(entry.Payload, record); err != nil || record.GetCheckpoint() == nil {
		return nil
	}
	whole, done := r.recovery.assembler.Add(record.GetCheckpoint())
	if !done || whole.GetNextOffset() < r.recovery.oldest {
		return nil
	}
	state, err := reducer.FromCheckpoint(whole)
	if err != nil {
		return []fleet.Event{fleet.NewEvent(fleet.EventSkipped, "checkpoint", err.Error())}
	}
	return r.adopt(state, "a checkpoint in the log")
}

// adopt replaces the state by a newer one; the caller holds mu. A state with an
// older offset or revision is not adopted.
func (r *Replicator) adopt(state reducer.State, source string) []fleet.Event {
	before := r.State()
	if state.NextOffset() <= before.NextOffset() {
		return nil
	}
	revision := state.Configuration().Revision()
	if revision < before.Configuration().Revision() {
		return []fleet.Event{fleet.NewEvent(fleet.EventSkipped, source, "it holds an older revision at a newer offset")}
	}
	r.state.Store(&state)
	r.recentRecords.clear()
	if r.recovery != nil && state.NextOffset() >= r.recovery.oldest {
		r.recovery = nil
	}
	r.broadcast()
	if revision == before.Configuration().Revision() {
		return nil
	}
	figure := fleet.Figure{Name: "revision", Value: float64(revision)}
	return []fleet.Event{fleet.NewEvent(fleet.EventConfigurationAccepted, "", "from "+source, figure)}
}

func (r *Replicator) record(events []fleet.Event) {
	for _, event := range events {
		r.recorder.Record(event)
	}
}
