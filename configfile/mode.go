package configfile

// Mode says what a difference covers.
type Mode uint8

const (
	// Keep leaves what the wanted configuration lacks.
	Keep Mode = iota + 1
	// Prune deletes services, routes and limits that the wanted configuration
	// lacks. Overrides stay: they are decided one by one.
	Prune
)
