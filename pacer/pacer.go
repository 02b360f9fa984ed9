// Package pacer keeps the requests to one backend server within the rate that the backend
// server names. It does no I/O.
package pacer

import "time"

const (
	// burstTime is the time without requests that may be made up for at once.
	burstTime = 500 * time.Millisecond
	// minRate is the least rate of requests a second. Only an answer shows that a limit has
	// ended, so a backend server that names almost nothing still gets a request now and then.
	minRate = 0.25
)

// Pacer is a token bucket whose rate the backend server changes. The zero value knows no
// limit. It is not safe for concurrent use.
type Pacer struct {
	// rate is the number of requests a second, unless there is no limit.
	rate    float64
	limited bool
	// confirmed is set once the backend server itself has shown whether it names a limit.
	confirmed bool
	tokens    float64
	// updated is when tokens was last correct.
	updated time.Time
}

// Limit sets the limit, in requests a second, that the backend server named in an answer. It
// reports whether the limit changed.
func (p *Pacer) Limit(rate float64, now time.Time) (changed bool) {
	p.confirmed = true
	return p.set(rate, now)
}

// Inherit sets a limit that another node was told, unless the backend server itself has shown
// since whether it names one. It reports whether the limit changed.
func (p *Pacer) Inherit(rate float64, now time.Time) (changed bool) {
	return !p.confirmed && p.set(rate, now)
}

// Lift records that the backend server named no limit in an answer. It reports whether the
// limit changed.
func (p *Pacer) Lift() (changed bool) {
	changed = p.limited
	*p = Pacer{confirmed: true}
	return changed
}

// Rate returns the limit in requests a second. known is false if neither a limit nor its
// absence is known.
func (p *Pacer) Rate() (rate float64, limited, known bool) {
	return p.rate, p.limited, p.limited || p.confirmed
}

// Take reports whether a request may be sent now, and counts it if so.
func (p *Pacer) Take(now time.Time) bool {
	if p.Wait(0, now) > 0 {
		return false
	}
	if p.limited {
		p.tokens--
	}
	return true
}

// Wait returns the time until a request may be sent that has so many others before it.
func (p *Pacer) Wait(ahead int, now time.Time) time.Duration {
	if !p.limited {
		return 0
	}
	p.refill(now)
	missing := float64(ahead+1) - p.tokens
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the request may be sent when the time has passed.
	return time.Duration(missing/p.effective()*float64(time.Second)) + 1
}

// Interval returns the time between two requests at the limit; 0 if there is none.
func (p *Pacer) Interval() time.Duration {
	if !p.limited {
		return 0
	}
	return time.Duration(float64(time.Second) / p.effective())
}

// set sets the rate. A new limit starts without tokens: what was sent before it was named may
// still be at the backend server.
func (p *Pacer) set(rate float64, now time.Time) (changed bool) {
	if p.limited && p.rate == rate {
		return false
	}
	if p.limited {
		p.refill(now)
	} else {
		p.tokens, p.updated = 0, now
	}
	p.rate, p.limited = rate, true
	p.tokens = min(p.tokens, p.burst())
	return true
}

// refill adds the tokens for the time since the last call.
func (p *Pacer) refill(now time.Time) {
	if passed := now.Sub(p.updated); passed > 0 {
		p.tokens = min(p.tokens+passed.Seconds()*p.effective(), p.burst())
		p.updated = now
	}
}

// effective returns the rate that is kept.
func (p *Pacer) effective() float64 { return max(p.rate, minRate) }

// burst returns the most tokens.
func (p *Pacer) burst() float64 { return max(1, p.effective()*burstTime.Seconds()) }
