package server

import "time"

// Faults says how a backend server misbehaves. The zero value is none.
type Faults struct {
	// Slow multiplies the service time; 0 and 1 leave it.
	Slow float64 `json:"slow"`
	// Errors is the share of requests that are answered with status 500.
	Errors float64 `json:"errors"`
	// Wrong is the share of requests that get another request's answer.
	Wrong float64 `json:"wrong"`
	// Cut is the share of requests whose answer ends early.
	Cut float64 `json:"cut"`
	// Stuck accepts requests and never answers them.
	Stuck bool `json:"stuck"`
	// Flap is a period in milliseconds: faults show in its second half only; 0 is always.
	Flap int `json:"flap"`
	// Lie keeps the health endpoint good whatever the other faults.
	Lie bool `json:"lie"`
	// Crash ends the process on a request whose path or body contains this text.
	Crash string `json:"crash"`
	// Silent makes the connections open now go silent for good; new ones work.
	Silent bool `json:"silent"`
	// Forge is the share of answers that carry a false checksum, which only the
	// caller can tell.
	Forge float64 `json:"forge"`
	// Deny leaves requests out of the ledger: a fault of the stand-in itself,
	// with which the checker is seen to fail.
	Deny float64 `json:"deny"`
	// Double enters requests in the ledger a second time, for the same use.
	Double float64 `json:"double"`
}

// active returns the faults in force at a time since the process began.
func (f Faults) active(since time.Duration) Faults {
	if f.Flap <= 0 {
		return f
	}
	period := time.Duration(f.Flap) * time.Millisecond
	if since%period < period/2 {
		return Faults{Lie: f.Lie, Flap: f.Flap, Crash: f.Crash, Deny: f.Deny, Double: f.Double}
	}
	return f
}

// bad reports whether an honest health endpoint would tell of a fault.
func (f Faults) bad() bool {
	return f.Slow > 1 || f.Errors > 0 || f.Wrong > 0 || f.Cut > 0 || f.Stuck
}
