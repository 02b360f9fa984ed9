package ejector

import (
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// appendFailed returns the event of a record that could not be appended.
func appendFailed(record *cowsliptallyv1.Record, err error) fleet.Event {
	subject := record.GetReturn().GetBackend()
	if ejection := record.GetEjection(); ejection != nil {
		subject = ejection.GetBackend()
	}
	return fleet.NewEvent(fleet.EventLogService, subject, "append failed: "+err.Error())
}
