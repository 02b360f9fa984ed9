package broadcaster

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/translator"
)

// delivery is a report to one node; since is the time of its first attempt.
type delivery struct {
	member fleet.Member
	report report
	since  time.Time
}

// report tells of a crash of a backend server, or that requests were cleared.
type report struct {
	backend fleet.BackendID
	records []quarantiner.Record
	cleared bool
}

// message returns the report as it is sent at a time: it tells the ages of crashes. Older nodes read only the
// identities, and permit trial requests at the node that reported them.
func (r report) message(node fleet.NodeID, now time.Time) *cowsliptallyv1.SuspectRequest {
	message := &cowsliptallyv1.SuspectRequest{
		Node:    string(node),
		Backend: string(r.backend),
		Records: translator.QuarantineRecordsToMessages(r.records, now),
	}
	for _, record := range r.records {
		if r.cleared {
			message.Cleared = append(message.Cleared, record.Identity)
		} else {
			message.Identities = append(message.Identities, record.Identity)
		}
	}
	return message
}
