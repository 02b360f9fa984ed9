package configfile

// Mode determines what Diff does with entries that only the old configuration has.
type Mode uint8

const (
	// Keep leaves entries in place that the new configuration lacks.
	Keep Mode = iota + 1
	// Prune deletes services, routes and limits that the new configuration lacks.
	// Overrides stay: each is decided individually.
	Prune
)
