package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// maxCrashes bounds the crashes of one record; the latest are kept.
const maxCrashes = 8

// Record holds the crashes of one identity. It is immutable. Merging records gives the same result in
// any order and any number of times: crashes are only added and cleared, and a cleared one stays so.
type Record struct {
	Identity string
	// crashes holds one entry for each backend server, the earliest first.
	crashes []Crash
}

// NewRecord returns the record of an identity with these crashes.
func NewRecord(identity string, crashes ...Crash) Record {
	return Record{Identity: identity}.WithCrashes(crashes...)
}

// Crashes returns a copy of the crashes, the earliest first.
func (r Record) Crashes() []Crash { return slices.Clone(r.crashes) }

// WithCrashes returns a copy to which these crashes are merged.
func (r Record) WithCrashes(crashes ...Crash) Record {
	all := slices.Clone(r.crashes)
	for _, crash := range crashes {
		i := slices.IndexFunc(all, func(known Crash) bool { return known.Backend == crash.Backend })
		if i < 0 {
			all = append(all, crash)
			continue
		}
		all[i] = all[i].merge(crash)
	}
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Backend, b.Backend))
	})
	r.crashes = all[max(0, len(all)-maxCrashes):]
	return r
}

// WithCleared returns a copy in which all crashes are cleared.
func (r Record) WithCleared() Record {
	crashes := slices.Clone(r.crashes)
	for i := range crashes {
		crashes[i] = crashes[i].WithCleared()
	}
	r.crashes = crashes
	return r
}

// Status returns the status of the identity.
func (r Record) Status() Status {
	switch pending := r.Pending(); {
	case len(pending) == 0:
		return Clean
	case slices.ContainsFunc(pending, func(c Crash) bool { return c.Trial }):
		return Poison
	default:
		return Suspect
	}
}

// NextTrial returns the earliest time at which a trial request may be permitted. It reports false if none is
// permitted until the record expires.
//
// Crashes without a trial request say little, however many there are: one disruption ends several backend
// servers, and a common query is in slots of all of them. A crash of a trial request says much.
func (r Record) NextTrial() (at time.Time, permitted bool) {
	trials, late := 0, 0
	var last Crash
	pending := r.Pending()
	for i, crash := range pending {
		// Other runs that had begun before the first crash was known have ended by then.
		begunLater := crash.Trial || crash.At.Sub(pending[0].At) > TrialDuration
		if i >= earlyCrashes && begunLater {
			late++
		}
		if crash.Trial {
			trials++
			last = crash
		}
	}
	switch {
	case late >= maxLateCrashes:
		return time.Time{}, false
	case trials == 0:
		return time.Time{}, true
	case last.Shared:
		return last.At.Add(sharedPause), true
	default:
		return last.At.Add(pauses[min(trials, len(pauses))-1]), true
	}
}

// Pending returns the crashes that are not cleared, the earliest first.
func (r Record) Pending() []Crash {
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool { return c.Cleared })
}

// Figures describes the record at a time in events: the crashes that are not cleared, those of trial requests among
// them, and the age of the last one.
func (r Record) Figures(now time.Time) []fleet.Figure {
	pending := r.Pending()
	figures := []fleet.Figure{
		{Name: "crashes", Value: float64(len(pending))},
		{Name: "trials", Value: float64(r.trials())},
	}
	if len(pending) > 0 {
		figures = append(figures, fleet.Milliseconds("age", now.Sub(pending[len(pending)-1].At)))
	}
	return figures
}

// trials returns the number of crashes in trial requests that are not cleared.
func (r Record) trials() (count int) {
	for _, crash := range r.Pending() {
		if crash.Trial {
			count++
		}
	}
	return count
}

// latest returns the time of the last crash; zero if there is none.
func (r Record) latest() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].At
}

// since returns a copy with the crashes after a time.
func (r Record) since(start time.Time) Record {
	if len(r.crashes) > 0 && !r.crashes[0].At.After(start) {
		r.crashes = slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool { return !c.At.After(start) })
	}
	return r
}
