package server

// Entry is the ledger's record of one request.
type Entry struct {
	Request string `json:"request"`
	// Key is the caller's idempotency key, or empty.
	Key     string `json:"key,omitempty"`
	Backend string `json:"backend"`
	// Idempotent is false for requests that must run at most once.
	Idempotent bool `json:"idempotent"`
	Starts     int  `json:"starts"`
	// Finishes counts the runs that completed with the request's own answer.
	Finishes int `json:"finishes"`
}
