package folder

import (
	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Apply folds the record at an offset and returns the new state with what
// happened. A record below NextOffset was folded before and changes nothing.
func (s State) Apply(offset uint64, record *cowsliptallyv1.Record) (State, []fleet.Event) {
	if offset < s.nextOffset {
		return s, nil
	}
	folded, events := s.fold(offset, record)
	folded.nextOffset = offset + 1
	return folded, events
}

// ApplyPayload folds a record as the log service holds it.
func (s State) ApplyPayload(offset uint64, payload []byte) (State, []fleet.Event) {
	record := &cowsliptallyv1.Record{}
	if err := proto.Unmarshal(payload, record); err != nil {
		record = nil
	}
	return s.Apply(offset, record)
}

func (s State) fold(offset uint64, record *cowsliptallyv1.Record) (State, []fleet.Event) {
	switch body := record.GetBody().(type) {
	case *cowsliptallyv1.Record_Proposal:
		return s.propose(offset, body.Proposal)
	case *cowsliptallyv1.Record_Ejection:
		return s.eject(offset, body.Ejection)
	case *cowsliptallyv1.Record_Return:
		return s.takeBack(offset, body.Return)
	case *cowsliptallyv1.Record_Join:
		return s.join(offset, body.Join)
	case *cowsliptallyv1.Record_Leave:
		return s.leave(body.Leave)
	case *cowsliptallyv1.Record_Checkpoint:
		return s.notice(offset, body.Checkpoint)
	case *cowsliptallyv1.Record_Group:
		return s.foldGroup(offset, body.Group)
	default:
		return s.skip(offset, "the record is malformed or of an unknown type")
	}
}

func (s State) foldGroup(offset uint64, records *cowsliptallyv1.Group) (State, []fleet.Event) {
	var all []fleet.Event
	for _, record := range records.GetRecords() {
		if record.GetGroup() != nil || record.GetCheckpoint() != nil {
			_, events := s.skip(offset, "a group holds a group or a checkpoint")
			all = append(all, events...)
			continue
		}
		next, events := s.fold(offset, record)
		s = next
		all = append(all, events...)
	}
	return s, all
}

// notice remembers that the stream holds a checkpoint.
func (s State) notice(offset uint64, c *cowsliptallyv1.Checkpoint) (State, []fleet.Event) {
	if c.GetNextOffset() > offset {
		return s.skip(offset, "a checkpoint covers records that come after it")
	}
	s.partial = s.partial.with(c)
	if s.partial.complete() {
		s.checkpointed = max(s.checkpointed, c.GetNextOffset())
	}
	return s, nil
}

func (s State) skip(offset uint64, reason string) (State, []fleet.Event) {
	figure := fleet.Figure{Name: "offset", Value: float64(offset)}
	return s, []fleet.Event{fleet.NewEvent(fleet.EventSkipped, "", reason, figure)}
}
