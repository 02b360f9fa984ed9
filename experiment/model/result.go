package model

import (
	"fmt"
	"slices"
	"time"
)

// none stands for a time that was not measured, in milliseconds.
const none = -1

// Result is what a run measured.
type Result struct {
	Settings Settings
	// Detections is the time of each fault until its share fell, sorted; a fault
	// that was missed counts with its whole length.
	Detections []time.Duration
	Missed     int
	// Recoveries is the time from the end of each fault to the full share, sorted.
	Recoveries []time.Duration
	// FalseDegradations and FalseEjections count healthy backend servers that
	// were set aside by one node and by the fleet.
	FalseDegradations int
	FalseEjections    int
	// Relapses counts recovered ones that were set aside again on probation.
	Relapses   int
	Ejections  int
	Violations int
	// BackendHours is the time of healthy backend servers.
	BackendHours float64
	Asked        uint64
	Answered     uint64
	Trace        Trace
}

func (t *meter) result() Result {
	m := t.model
	slices.Sort(t.detections)
	slices.Sort(t.recoveries)
	hours := m.end.Hours()*float64(len(m.backends)) - t.faultyTime.Hours()
	return Result{
		Settings:          m.settings,
		Detections:        t.detections,
		Missed:            t.missed,
		Recoveries:        t.recoveries,
		FalseDegradations: t.degradations,
		FalseEjections:    t.ejections,
		Relapses:          t.relapses,
		Ejections:         t.accepted,
		Violations:        t.violations,
		BackendHours:      hours,
		Asked:             t.asked,
		Answered:          t.answered,
		Trace:             t.trace.Trace,
	}
}

// Details returns a line with what the last line leaves out.
func (r Result) Details() string {
	return fmt.Sprintf("episodes=%d missed=%d recovery_p50_ms=%d recovery_p99_ms=%d "+
		"false_degradations=%d false_agreed=%d relapses=%d ejections=%d asked=%d",
		len(r.Detections), r.Missed, quantile(r.Recoveries, 0.5), quantile(r.Recoveries, 0.99),
		r.FalseDegradations, r.FalseEjections, r.Relapses, r.Ejections, r.Asked)
}

// String returns the last line. False ejections are all healthy backend servers
// that were set aside, by one node or by the fleet.
func (r Result) String() string {
	s := r.Settings
	return fmt.Sprintf("scenario=%s policy=%s seed=%d backends=%d rate=%g detect_p50_ms=%d detect_p99_ms=%d "+
		"false_ejections=%d backend_hours=%.1f floor_violations=%d answered=%d goodput=%.5f",
		s.Scenario, s.Policy, s.Seed, s.Backends, s.Rate,
		quantile(r.Detections, 0.5), quantile(r.Detections, 0.99),
		r.FalseDegradations+r.FalseEjections, r.BackendHours, r.Violations,
		r.Answered, float64(r.Answered)/float64(max(r.Asked, 1)))
}

// quantile returns the value with a rank in milliseconds, or none.
func quantile(sorted []time.Duration, rank float64) int64 {
	if len(sorted) == 0 {
		return none
	}
	place := int(rank * float64(len(sorted)))
	return sorted[min(place, len(sorted)-1)].Milliseconds()
}
