package checker

import (
	"fmt"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// Checker compares callers' records with the ledgers of backend servers.
type Checker struct {
	// killed holds the time at which each node was killed, by caller address.
	killed map[string]time.Time
	// frozen holds the intervals during which each node was frozen, by caller address.
	frozen map[string][]interval
	direct []caller.Record
}

// interval is a span of time.
type interval struct {
	from, until time.Time
}

// Option changes a setting of a checker.
type Option func(*Checker)

// WithKilled excuses a node that was killed without notice at a time. The
// connections of its requests in flight break, which no node can prevent; these
// requests count as unknown.
func WithKilled(node string, at time.Time) Option {
	return func(c *Checker) { c.killed[node] = at }
}

// WithFrozen excuses a node that was frozen for an interval. Its requests in
// flight may get no response, which no node can prevent; they count as unknown.
func WithFrozen(node string, from, until time.Time) Option {
	return func(c *Checker) { c.frozen[node] = append(c.frozen[node], interval{from, until}) }
}

// WithDirect sets the records of requests that were sent directly to backend
// servers. Their time outside the slots is subtracted from the reported time.
func WithDirect(records []caller.Record) Option {
	return func(c *Checker) { c.direct = records }
}

// New returns a checker.
func New(options ...Option) *Checker {
	c := &Checker{killed: map[string]time.Time{}, frozen: map[string][]interval{}}
	for _, option := range options {
		option(c)
	}
	return c
}

// runs is the sum of one request's entries over all ledgers.
type runs struct {
	starts   int
	finishes int
	backends []string
}

// Check compares records with the entries of all ledgers.
func (c *Checker) Check(records []caller.Record, entries []server.Entry) Report {
	ledger := sumByRequest(entries)
	report := Report{Sent: len(records)}
	for _, record := range records {
		c.count(&report, record, ledger[record.Request])
	}
	checkTwice(&report, records, entries, ledger)
	p50, p99 := overheadPercentiles(records)
	directP50, directP99 := overheadPercentiles(c.direct)
	report.AddedP50, report.AddedP99 = p50-directP50, p99-directP99
	return report
}

// count adds one record's outcome to the report and checks it against the ledgers.
func (c *Checker) count(report *Report, record caller.Record, ran runs) {
	switch record.Result {
	case caller.ResultAnswered:
		report.Answered++
		checkAnswer(report, record, ran)
	case caller.ResultRefused:
		report.Refused++
		if ran.starts > 0 {
			report.add(ViolationWrong, record, "reported as not executed, reason %q, but ran on %v", record.Reason, ran.backends)
		}
	case caller.ResultUnknown:
		report.Unknown++
	default:
		c.countNoOutcome(report, record)
	}
}

// checkAnswer checks that an answer matches its request and that the request ran.
func checkAnswer(report *Report, record caller.Record, ran runs) {
	switch {
	case !record.Own:
		report.add(ViolationWrong, record, "answer with status %d does not match the request", record.Status)
	case ran.starts == 0:
		report.add(ViolationLost, record, "reported as run on %q, but no ledger has an entry", record.Backend)
	case record.Status < 400 && ran.finishes == 0:
		report.add(ViolationLost, record, "answered by %q, but no ledger has a finished run", record.Backend)
	}
}

// countNoOutcome counts a request for which no outcome was reported to the caller.
func (c *Checker) countNoOutcome(report *Report, record caller.Record) {
	if c.excused(record) {
		report.Unknown++
		report.Excused++
		return
	}
	report.add(ViolationLost, record, "no outcome from %s after %s: %s, status %d, %q; sent at %s over a connection opened at %s, reused %t, written to it at %s, last read from it at %s; %s",
		record.Node, record.Took.Round(time.Millisecond), record.Result, record.Status, record.Reason,
		record.Sent.Format(time.StampMicro), stamp(record.Connected), record.Reused,
		stamp(record.Written), stamp(record.Read), lateness(record))
}

// lateness tells how late the caller itself was, which a machine without processor time for it makes it.
func lateness(record caller.Record) string {
	text := "caller sent at once"
	if !record.Due.IsZero() {
		text = fmt.Sprintf("caller %s late to send", record.Sent.Sub(record.Due).Round(time.Millisecond))
	}
	if over := record.Took - record.Limit; record.Limit > 0 && over >= 0 {
		text += fmt.Sprintf(" and %s late to give up after %s", over.Round(time.Millisecond), record.Limit)
	}
	return text
}

// stamp formats a time that may not be known.
func stamp(t time.Time) string {
	if t.IsZero() {
		return "no time"
	}
	return t.Format(time.StampMicro)
}

// excused reports whether a request was in flight at a node that was killed or frozen.
func (c *Checker) excused(record caller.Record) bool {
	if c.brokenByKill(record) {
		return true
	}
	ended := record.Sent.Add(record.Took)
	for _, pause := range c.frozen[record.Node] {
		if record.Sent.Before(pause.until) && ended.After(pause.from) {
			return true
		}
	}
	return false
}

// brokenByKill reports whether a request broke because its node was killed: it was sent
// before, or later over a kept connection of the killed process whose end its caller had
// not noticed yet.
func (c *Checker) brokenByKill(record caller.Record) bool {
	killed, found := c.killed[record.Node]
	if !found || record.Result != caller.ResultBroken {
		return false
	}
	return !record.Sent.After(killed) || record.Reused && !record.Connected.After(killed)
}

// checkTwice reports non-idempotent requests and keys that ran more than once.
func checkTwice(report *Report, records []caller.Record, entries []server.Entry, ledger map[fleet.RequestID]runs) {
	keys := map[string]int{}
	for _, entry := range entries {
		if entry.Key != "" {
			keys[entry.Key] += entry.Starts
		}
	}
	seen := map[string]bool{}
	for _, record := range records {
		if record.Idempotent {
			continue
		}
		identity := string(record.Request)
		starts := ledger[record.Request].starts
		if record.Key != "" {
			identity, starts = record.Key, keys[record.Key]
		}
		if starts > 1 && !seen[identity] {
			seen[identity] = true
			report.add(ViolationTwice, record, "started %d times on %v", starts, ledger[record.Request].backends)
		}
	}
}

func (r *Report) add(violation Violation, record caller.Record, format string, args ...any) {
	switch violation {
	case ViolationWrong:
		r.Wrong++
	case ViolationLost:
		r.Lost++
	case ViolationTwice:
		r.Twice++
	}
	finding := Finding{Violation: violation, Request: record.Request, Detail: fmt.Sprintf(format, args...)}
	r.Findings = append(r.Findings, finding)
}

// sumByRequest sums the entries of all ledgers by request.
func sumByRequest(entries []server.Entry) map[fleet.RequestID]runs {
	ledger := map[fleet.RequestID]runs{}
	for _, entry := range entries {
		id := fleet.RequestID(entry.Request)
		sum := ledger[id]
		sum.starts += entry.Starts
		sum.finishes += entry.Finishes
		sum.backends = append(sum.backends, entry.Backend)
		ledger[id] = sum
	}
	return ledger
}

// overheadPercentiles returns two percentiles of the time that answered requests spent outside the slots.
func overheadPercentiles(records []caller.Record) (p50, p99 time.Duration) {
	var times []time.Duration
	for _, record := range records {
		if record.Result == caller.ResultAnswered && record.Served > 0 {
			times = append(times, record.Took-record.Served)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[min(len(times)*99/100, len(times)-1)]
}
