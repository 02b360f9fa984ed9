package translator

import (
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/quarantiner"
)

// maxCrashAge bounds the age of a crash in a message, so that it fits a duration.
const maxCrashAge = 30 * 24 * time.Hour

// QuarantineRecordToMessage converts a record at a time of this node; other nodes have other clocks.
func QuarantineRecordToMessage(r quarantiner.Record, now time.Time) *cowsliptallyv1.QuarantineRecord {
	message := &cowsliptallyv1.QuarantineRecord{Identity: r.Identity}
	for _, crash := range r.Crashes() {
		message.Crashes = append(message.Crashes, &cowsliptallyv1.Crash{
			Backend: string(crash.Backend),
			AgeMs:   uint64(max(0, now.Sub(crash.At).Milliseconds())),
			Trial:   crash.Trial,
			Shared:  crash.Shared,
			Cleared: crash.Cleared,
		})
	}
	return message
}

// QuarantineRecordsToMessages converts records.
func QuarantineRecordsToMessages(records []quarantiner.Record, now time.Time) []*cowsliptallyv1.QuarantineRecord {
	messages := make([]*cowsliptallyv1.QuarantineRecord, 0, len(records))
	for _, record := range records {
		messages = append(messages, QuarantineRecordToMessage(record, now))
	}
	return messages
}

// QuarantineRecordFromMessage converts a message that was received at a time of this node.
func QuarantineRecordFromMessage(m *cowsliptallyv1.QuarantineRecord, now time.Time) quarantiner.Record {
	crashes := make([]quarantiner.Crash, 0, len(m.GetCrashes()))
	for _, crash := range m.GetCrashes() {
		age := time.Duration(min(crash.GetAgeMs(), uint64(maxCrashAge.Milliseconds()))) * time.Millisecond
		crashes = append(crashes, quarantiner.Crash{
			Backend: fleet.BackendID(crash.GetBackend()),
			At:      now.Add(-age),
			Trial:   crash.GetTrial(),
			Shared:  crash.GetShared(),
			Cleared: crash.GetCleared(),
		})
	}
	return quarantiner.NewRecord(m.GetIdentity(), crashes...)
}

// QuarantineRecordsFromMessages converts messages that were received at a time of this node.
func QuarantineRecordsFromMessages(messages []*cowsliptallyv1.QuarantineRecord, now time.Time) []quarantiner.Record {
	records := make([]quarantiner.Record, 0, len(messages))
	for _, message := range messages {
		records = append(records, QuarantineRecordFromMessage(message, now))
	}
	return records
}
