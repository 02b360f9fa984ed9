package server

// Entry is what the ledger holds of one request.
type Entry struct {
	Request string `json:"request"`
	// Key is the caller's idempotency key, or empty.
	Key     string `json:"key,omitempty"`
	Backend string `json:"backend"`
	// Idempotent is false for requests that must run at most once.
	Idempotent bool `json:"idempotent"`
	Starts     int  `json:"starts"`
	// Finishes counts the runs that ended with an answer of the request's own.
	Finishes int `json:"finishes"`
}
