package fleet

// Limit is the rate limit of one organisation.
type Limit struct {
	Organisation      Organisation
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once.
	Burst int
}

// Key returns the name under which a configuration holds the limit.
func (l Limit) Key() Organisation { return l.Organisation }
