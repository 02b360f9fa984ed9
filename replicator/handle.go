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
func (k *Replicator) handle(_ context.Context, entry logclient.Entry) error {
	k.mu.Lock()
	var events []fleet.Event
	if k.recovery != nil {
		events = k.searchCheckpoint(entry)
	} else {
		events = k.applyRecord(entry.Offset, entry.Payload)
	}
	k.mu.Unlock()
	k.record(events)
	return nil
}

// applyRecord applies one record if it is the next one; the caller holds mu.
func (k *Replicator) applyRecord(offset uint64, payload []byte) []fleet.Event {
	state := k.State()
	if offset != state.NextOffset() {
		return nil
	}
	next, events := state.ApplyPayload(offset, payload)
	k.state.Store(&next)
	k.recentRecords.add(offset, payload)
	k.broadcast()
	return events
}

// searchCheckpoint checks whether one record completes a checkpoint that covers
// the expired records, and adopts it; the caller holds mu.
func (k *Replicator) searchCheckpoint(entry logclient.Entry) []fleet.Event {
	k.recovery.next = entry.Offset + 1
	record := &cowsliptallyv1.Record{}
	if err := proto.Unmarshal(entry.Payload, record); err != nil || record.GetCheckpoint() == nil {
		return nil
	}
	whole, done := k.recovery.assembler.Add(record.GetCheckpoint())
	if !done || whole.GetNextOffset() < k.recovery.oldest {
		return nil
	}
	state, err := reducer.FromCheckpoint(whole)
	if err != nil {
		return []fleet.Event{fleet.NewEvent(fleet.EventSkipped, "checkpoint", err.Error())}
	}
	return k.adopt(state, "a checkpoint in the log")
}

// adopt replaces the state by a newer one; the caller holds mu. A state with an
// older offset or revision is not adopted.
func (k *Replicator) adopt(state reducer.State, source string) []fleet.Event {
	before := k.State()
	if state.NextOffset() <= before.NextOffset() {
		return nil
	}
	revision := state.Configuration().Revision()
	if revision < before.Configuration().Revision() {
		return []fleet.Event{fleet.NewEvent(fleet.EventSkipped, source, "it has an older revision at a newer offset")}
	}
	k.state.Store(&state)
	k.recentRecords.clear()
	if k.recovery != nil && state.NextOffset() >= k.recovery.oldest {
		k.recovery = nil
	}
	k.broadcast()
	if revision == before.Configuration().Revision() {
		return nil
	}
	figure := fleet.Figure{Name: "revision", Value: float64(revision)}
	return []fleet.Event{fleet.NewEvent(fleet.EventConfigurationAccepted, "", "from "+source, figure)}
}

func (k *Replicator) record(events []fleet.Event) {
	for _, event := range events {
		k.recorder.Record(event)
	}
}
