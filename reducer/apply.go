package reducer

import (
	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Apply applies the record at an offset and returns the new state and the
// resulting events. A record below NextOffset was applied before and changes
// nothing.
func (s State) Apply(offset uint64, record *cowsliptallyv1.Record) (State, []fleet.Event) {
	if offset < s.nextOffset {
		return s, nil
	}
	next, events := s.applyRecord(offset, record)
	next.nextOffset = offset + 1
	return next, events
}

// ApplyPayload applies a record in the encoding stored by the log service.
func (s State) ApplyPayload(offset uint64, payload []byte) (State, []fleet.Event) {
	record := &cowsliptallyv1.Record{}
	if err := proto.Unmarshal(payload, record); err != nil {
		record = nil
	}
	return s.Apply(offset, record)
}

func (s State) applyRecord(offset uint64, record *cowsliptallyv1.Record) (State, []fleet.Event) {
	switch body := record.GetBody().(type) {
	case *cowsliptallyv1.Record_Proposal:
		return s.applyProposal(offset, body.Proposal)
	case *cowsliptallyv1.Record_Ejection:
		return s.applyEjection(offset, body.Ejection)
	case *cowsliptallyv1.Record_Return:
		return s.applyReturn(offset, body.Return)
	case *cowsliptallyv1.Record_Join:
		return s.applyJoin(offset, body.Join)
	case *cowsliptallyv1.Record_Leave:
		return s.applyLeave(body.Leave)
	case *cowsliptallyv1.Record_Checkpoint:
		return s.applyCheckpoint(offset, body.Checkpoint)
	case *cowsliptallyv1.Record_Group:
		return s.applyGroup(offset, body.Group)
	default:
		return s.skip(offset, "the record is malformed or of an unknown type")
	}
}

func (s State) applyGroup(offset uint64, records *cowsliptallyv1.Group) (State, []fleet.Event) {
	var all []fleet.Event
	for _, record := range records.GetRecords() {
		if record.GetGroup() != nil || record.GetCheckpoint() != nil {
			_, events := s.skip(offset, "a group holds a group or a checkpoint")
			all = append(all, events...)
			continue
		}
		next, events := s.applyRecord(offset, record)
		s = next
		all = append(all, events...)
	}
	return s, all
}

// applyCheckpoint records that the stream contains a checkpoint.
func (s State) applyCheckpoint(offset uint64, c *cowsliptallyv1.Checkpoint) (State, []fleet.Event) {
	if c.GetNextOffset() > offset {
		return s.skip(offset, "a checkpoint covers records that come after it")
	}
	s.partialCheckpoint = s.partialCheckpoint.with(c)
	if s.partialCheckpoint.complete() {
		s.checkpointEnd = max(s.checkpointEnd, c.GetNextOffset())
	}
	return s, nil
}

func (s State) skip(offset uint64, reason string) (State, []fleet.Event) {
	figure := fleet.Figure{Name: "offset", Value: float64(offset)}
	return s, []fleet.Event{fleet.NewEvent(fleet.EventSkipped, "", reason, figure)}
}
