// Package quarantiner records which requests were running on backend servers that
// crashed. It does no I/O.
//
// An identity identifies a request by its content, so that it is recognised when its
// caller sends it again. After a crash it is suspect, and runs only as a trial request,
// one at a time. A trial request that runs to its end clears the identity; a crash in one
// makes it poison, and the next trial request waits for a pause that grows.
//
// Each node has its own quarantiner, and merges what the others tell. Which node permits the
// trial requests of an identity follows from the membership (Deciders).
package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
)

// Quarantiner holds the status of identities. It is safe for concurrent use.
type Quarantiner struct {
	clock    clockwork.Clock
	duration time.Duration
	capacity int
	recorder Recorder

	mu      sync.Mutex
	entries *simplelru.LRU[string, *entry]
}

// entry is what this node knows of one identity.
type entry struct {
	record Record
	// trialEnd is when a trial request that this node permitted, or sends, has ended at the latest.
	trialEnd time.Time
}

// New returns a quarantiner in which every identity is clean.
func New(clock clockwork.Clock, options ...Option) *Quarantiner {
	q := &Quarantiner{clock: clock, duration: DefaultDuration, capacity: DefaultCapacity, recorder: noop{}}
	for _, option := range options {
		option(q)
	}
	entries, err := simplelru.NewLRU[string, *entry](max(1, q.capacity), nil)
	if err != nil {
		panic(err)
	}
	q.entries = entries
	return q
}

// RecordCrash records that a backend server of this VM crashed with these identities in its slots, some of
// them as trial requests. It returns their records.
func (q *Quarantiner) RecordCrash(backend fleet.BackendID, identities, trials []string) []Record {
	now := q.clock.Now()
	identities, trials = distinct(identities), distinct(trials)
	return q.update(identities, func(e *entry) []Crash {
		trial := slices.Contains(trials, e.record.Identity)
		return []Crash{{Backend: e.crashID(backend, now), At: now, Trial: trial, Shared: trial && len(trials) > 1}}
	})
}

func distinct(identities []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(identities)))
}

// RecordReport records a crash as an older node reports it, without its time and without the trial requests. The
// one that this node permitted is taken to have run there.
func (q *Quarantiner) RecordReport(backend fleet.BackendID, identities []string) {
	now := q.clock.Now()
	q.update(identities, func(e *entry) []Crash {
		return []Crash{{Backend: backend, At: now, Trial: now.Before(e.trialEnd)}}
	})
}

// Merge merges records of other nodes.
func (q *Quarantiner) Merge(records ...Record) {
	for _, record := range records {
		if record = record.since(q.oldest()); len(record.crashes) > 0 {
			q.update([]string{record.Identity}, func(*entry) []Crash { return record.crashes })
		}
	}
}

// update merges crashes to the records of some identities and returns these. It records which of them became
// poison by it.
func (q *Quarantiner) update(identities []string, crashes func(*entry) []Crash) []Record {
	var records, poisoned []Record
	q.mu.Lock()
	for _, identity := range identities {
		e := q.add(identity)
		if e.merge(crashes(e)) {
			poisoned = append(poisoned, e.record)
		}
		records = append(records, e.record)
	}
	q.mu.Unlock()
	for _, record := range poisoned {
		figures := record.Figures(q.clock.Now())
		q.recorder.Record(fleet.NewEvent(fleet.EventPoison, record.Identity, string(fleet.ReasonPoison), figures...))
	}
	return records
}

// crashID returns the identifier of a crash that is reported now. A backend server that was reported by mistake
// may crash again under its identifier.
func (e *entry) crashID(backend fleet.BackendID, now time.Time) fleet.BackendID {
	earlier := 0
	for _, crash := range e.record.crashes {
		if crash.Backend != backend && !strings.HasPrefix(string(crash.Backend), string(backend)+"~") {
			continue
		}
		if now.Sub(crash.At) < crashWindow {
			return crash.Backend
		}
		earlier++
	}
	if earlier == 0 {
		return backend
	}
	return fleet.BackendID(fmt.Sprintf("%s~%d", backend, earlier))
}

// merge merges crashes. It reports whether one of a trial request is new. That, and that the identity is clean, ends
// the trial request that was permitted.
func (e *entry) merge(crashes []Crash) (poisoned bool) {
	before := e.record.trials()
	e.record = e.record.WithCrashes(crashes...)
	poisoned = e.record.trials() > before
	if poisoned || e.record.Status() == Clean {
		e.trialEnd = time.Time{}
	}
	return poisoned
}

// Clear clears an identity that ran to its end, which a request that crashes every
// backend server never does. It returns the record, and whether that changed it.
func (q *Quarantiner) Clear(identity string) (Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.find(identity)
	if e == nil || e.record.Status() == Clean {
		return Record{Identity: identity}, false
	}
	e.record = e.record.WithCleared()
	e.trialEnd = time.Time{}
	return e.record, true
}

// Record returns the record of an identity.
func (q *Quarantiner) Record(identity string) Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.find(identity); e != nil {
		return e.record
	}
	return Record{Identity: identity}
}

// Check returns whether a trial request of an identity might be permitted now, by what this node knows.
func (q *Quarantiner) Check(identity string) Permission {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.check(identity)
}

// PermitTrial permits one trial request of an identity at a time, which takes this long at most. It records
// the decision, except those that are asked for many times a second.
func (q *Quarantiner) PermitTrial(identity string, lasting time.Duration) Permission {
	permission := q.permit(identity, lasting)
	if permission.Verdict != Running && permission.Verdict != Unneeded {
		figures := q.Record(identity).Figures(q.clock.Now())
		if permission.Wait > 0 {
			figures = append(figures, fleet.Milliseconds("wait", permission.Wait))
		}
		q.recorder.Record(fleet.NewEvent(fleet.EventTrial, identity, string(permission.Verdict), figures...))
	}
	return permission
}

func (q *Quarantiner) permit(identity string, lasting time.Duration) Permission {
	q.mu.Lock()
	defer q.mu.Unlock()
	permission := q.check(identity)
	if permission.Verdict == Permitted {
		q.find(identity).startTrial(q.clock.Now(), lasting)
	}
	return permission
}

// StartTrial records that this node sends a trial request that another one permitted. It asks for no other meanwhile,
// also if that node has ended and the next one knows nothing of the trial request.
func (q *Quarantiner) StartTrial(identity string, lasting time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e := q.find(identity); e != nil && e.record.Status() != Clean {
		e.startTrial(q.clock.Now(), lasting)
	}
}

func (e *entry) startTrial(now time.Time, lasting time.Duration) {
	e.trialEnd = now.Add(min(lasting, TrialDuration))
}

func (q *Quarantiner) check(identity string) Permission {
	e := q.find(identity)
	if e == nil || e.record.Status() == Clean {
		return Permission{Verdict: Unneeded}
	}
	now := q.clock.Now()
	at, permitted := e.record.NextTrial()
	switch {
	case !permitted:
		return Permission{Verdict: Exhausted}
	case now.Before(at):
		return Permission{Verdict: Paused, Wait: at.Sub(now)}
	case now.Before(e.trialEnd):
		return Permission{Verdict: Running}
	default:
		return Permission{Verdict: Permitted}
	}
}

// RevokeTrial revokes the permission of a trial request that did not and will not run.
func (q *Quarantiner) RevokeTrial(identity string) {
	q.mu.Lock()
	e := q.find(identity)
	if e != nil {
		e.trialEnd = time.Time{}
	}
	q.mu.Unlock()
	if e != nil {
		q.recorder.Record(fleet.NewEvent(fleet.EventTrial, identity, "released"))
	}
}

// Len returns the number of identities remembered.
func (q *Quarantiner) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.entries.Len()
}

// oldest returns the time of the oldest crashes that are remembered.
func (q *Quarantiner) oldest() time.Time { return q.clock.Now().Add(-q.duration) }

// add returns the entry of an identity, and adds it if there is none.
func (q *Quarantiner) add(identity string) *entry {
	if e := q.find(identity); e != nil {
		return e
	}
	e := &entry{record: Record{Identity: identity}}
	q.entries.Add(identity, e)
	return e
}

// find returns the entry of an identity without its expired crashes, or nil if there is none.
func (q *Quarantiner) find(identity string) *entry {
	e, found := q.entries.Get(identity)
	if !found {
		return nil
	}
	if e.record = e.record.since(q.oldest()); len(e.record.crashes) == 0 {
		q.entries.Remove(identity)
		return nil
	}
	return e
}
