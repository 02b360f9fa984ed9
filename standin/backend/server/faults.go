package server

import "time"

// Faults are the faults that a backend server injects. The zero value injects none.
type Faults struct {
	// Slow multiplies the service time; values up to 1 have no effect.
	Slow float64 `json:"slow"`
	// Errors is the share of requests that are answered with status 500.
	Errors float64 `json:"errors"`
	// Wrong is the share of requests that are answered with an earlier request's
	// identifier.
	Wrong float64 `json:"wrong"`
	// Cut is the share of requests whose answer is cut off halfway.
	Cut float64 `json:"cut"`
	// Stuck lets requests occupy their slots until they are cancelled or time out.
	Stuck bool `json:"stuck"`
	// Flap is a period in milliseconds; the faults are in force only in its
	// second half, except Lie, Crash, Silent, Deny and Double. 0 turns this off.
	Flap int `json:"flap"`
	// Lie makes the health endpoint report a good state despite other faults.
	Lie bool `json:"lie"`
	// Crash ends the process on a request whose path or body contains this text.
	Crash string `json:"crash"`
	// Silent drops all further data on the connections that are open now; new
	// connections work.
	Silent bool `json:"silent"`
	// Forge is the share of answers with a false checksum, which only the caller
	// can detect.
	Forge float64 `json:"forge"`
	// Deny is the share of requests that are left out of the ledger: a fault of
	// the stand-in itself, to show that the checker detects it.
	Deny float64 `json:"deny"`
	// Double is the share of requests whose start is recorded twice in the
	// ledger, for the same purpose.
	Double float64 `json:"double"`
}

// active returns the faults in force at a time after the start of the server.
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

// unhealthy reports whether a fault is in force that makes the health endpoint
// fail unless Lie is set.
func (f Faults) unhealthy() bool {
	return f.Slow > 1 || f.Errors > 0 || f.Wrong > 0 || f.Cut > 0 || f.Stuck
}
