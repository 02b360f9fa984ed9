package model

import (
	"fmt"
	"slices"
	"time"
)

// none is printed for a time that was not measured.
const none = -1

// Result holds the measurements of a run.
type Result struct {
	Settings Settings
	// Detections are the times from the beginning of each fault until the backend
	// server's share of traffic fell, sorted; a missed fault counts with its whole
	// length.
	Detections []time.Duration
	Missed     int
	// Recoveries are the times from the end of each fault to the full share, sorted.
	Recoveries []time.Duration
	// FalseDegradations counts healthy backend servers that one node degraded or
	// ejected, FalseEjections those that the fleet ejected.
	FalseDegradations int
	FalseEjections    int
	// Relapses counts recovered backend servers that were degraded or ejected again on
	// probation.
	Relapses  int
	Ejections int
	// Violations counts the ticks and views in which the floor was violated.
	Violations int
	// BackendHours is the total time of healthy backend servers in hours.
	BackendHours float64
	Requests     uint64
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
		Requests:          t.requests,
		Answered:          t.answered,
		Trace:             t.trace.Trace,
	}
}

// Details returns a line with the figures that String leaves out.
func (r Result) Details() string {
	return fmt.Sprintf("episodes=%d missed=%d recovery_p50_ms=%d recovery_p99_ms=%d "+
		"false_degradations=%d false_agreed=%d relapses=%d ejections=%d asked=%d",
		len(r.Detections), r.Missed, quantile(r.Recoveries, 0.5), quantile(r.Recoveries, 0.99),
		r.FalseDegradations, r.FalseEjections, r.Relapses, r.Ejections, r.Requests)
}

// String returns the line with the main figures. Its false ejections are all
// healthy backend servers that were degraded or ejected, by one node or by the
// fleet.
func (r Result) String() string {
	s := r.Settings
	return fmt.Sprintf("scenario=%s policy=%s seed=%d backends=%d rate=%g detect_p50_ms=%d detect_p99_ms=%d "+
		"false_ejections=%d backend_hours=%.1f floor_violations=%d answered=%d goodput=%.5f",
		s.Scenario, s.Policy, s.Seed, s.Backends, s.Rate,
		quantile(r.Detections, 0.5), quantile(r.Detections, 0.99),
		r.FalseDegradations+r.FalseEjections, r.BackendHours, r.Violations,
		r.Answered, float64(r.Answered)/float64(max(r.Requests, 1)))
}

// quantile returns the value at a rank from 0 to 1 in milliseconds, or none.
func quantile(sorted []time.Duration, rank float64) int64 {
	if len(sorted) == 0 {
		return none
	}
	index := int(rank * float64(len(sorted)))
	return sorted[min(index, len(sorted)-1)].Milliseconds()
}
