package fleet

// Limit bounds the requests of one organisation.
type Limit struct {
	Organisation      Organisation
	RequestsPerSecond float64
	// Burst is the number of requests that may come at once.
	Burst int
}
