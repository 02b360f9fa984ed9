package checker

import (
	"fmt"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// Checker judges records against ledgers.
type Checker struct {
	// killed holds when nodes were killed without notice, by caller address.
	killed map[string]time.Time
	// frozen holds when nodes could not run, by caller address.
	frozen map[string][]interval
	direct []caller.Record
}

// interval is a time from and until which something lasted.
type interval struct {
	from, until time.Time
}

// Option changes a setting of a checker.
type Option func(*Checker)

// WithKilled names a node that was killed without notice at a time. Requests
// that it held then end with a broken connection, which no node can prevent;
// they count as unknown.
func WithKilled(node string, at time.Time) Option {
	return func(c *Checker) { c.killed[node] = at }
}

// WithFrozen names a node that could not run for a time. Requests that it held
// meanwhile may end in silence, which no node can prevent; they count as unknown.
func WithFrozen(node string, from, until time.Time) Option {
	return func(c *Checker) { c.frozen[node] = append(c.frozen[node], interval{from, until}) }
}

// WithDirect gives records of requests that went to backend servers directly,
// whose times outside the slots are taken off the reported ones.
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

// runs is what all ledgers together hold of one request.
type runs struct {
	starts   int
	finishes int
	backends []string
}

// Check compares records with the entries of all ledgers.
func (c *Checker) Check(records []caller.Record, entries []server.Entry) Report {
	ledger := gather(entries)
	report := Report{Sent: len(records)}
	for _, record := range records {
		c.count(&report, record, ledger[record.Request])
	}
	checkTwice(&report, records, entries, ledger)
	p50, p99 := outside(records)
	directP50, directP99 := outside(c.direct)
	report.AddedP50, report.AddedP99 = p50-directP50, p99-directP99
	return report
}

// count enters one record's outcome and checks it against what ran.
func (c *Checker) count(report *Report, record caller.Record, ran runs) {
	switch record.Result {
	case caller.ResultAnswered:
		report.Answered++
		checkAnswer(report, record, ran)
	case caller.ResultRefused:
		report.Refused++
		if ran.starts > 0 {
			report.add(FaultWrong, record, "told not executed, reason %q, yet it ran on %v", record.Reason, ran.backends)
		}
	case caller.ResultUnknown:
		report.Unknown++
	default:
		c.countSilence(report, record)
	}
}

// checkAnswer checks an answer for being the request's own and having been run.
func checkAnswer(report *Report, record caller.Record, ran runs) {
	switch {
	case !record.Own:
		report.add(FaultWrong, record, "the answer, status %d, is not its own", record.Status)
	case ran.starts == 0:
		report.add(FaultLost, record, "told that it ran on %q, which no ledger holds", record.Backend)
	case record.Status < 400 && ran.finishes == 0:
		report.add(FaultLost, record, "answered by %q, yet no ledger holds its end", record.Backend)
	}
}

// countSilence enters a request whose caller was told nothing.
func (c *Checker) countSilence(report *Report, record caller.Record) {
	if c.severed(record) {
		report.Unknown++
		report.Severed++
		return
	}
	report.add(FaultLost, record, "told nothing by %s after %s: %s, status %d, %q",
		record.Node, record.Took.Round(time.Millisecond), record.Result, record.Status, record.Reason)
}

// severed reports whether a request's node was killed or frozen while it held it.
func (c *Checker) severed(record caller.Record) bool {
	killed, found := c.killed[record.Node]
	if found && record.Result == caller.ResultBroken && !record.Sent.After(killed) {
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

// checkTwice looks for non-idempotent requests and keys that ran more than once.
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
			report.add(FaultTwice, record, "started %d times, on %v", starts, ledger[record.Request].backends)
		}
	}
}

func (r *Report) add(fault Fault, record caller.Record, format string, args ...any) {
	switch fault {
	case FaultWrong:
		r.Wrong++
	case FaultLost:
		r.Lost++
	case FaultTwice:
		r.Twice++
	}
	finding := Finding{Fault: fault, Request: record.Request, Detail: fmt.Sprintf(format, args...)}
	r.Findings = append(r.Findings, finding)
}

// gather sums the entries of all backend servers by request.
func gather(entries []server.Entry) map[fleet.RequestID]runs {
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

// outside returns two percentiles of the time that good answers spent outside the slots.
func outside(records []caller.Record) (p50, p99 time.Duration) {
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
