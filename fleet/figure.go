package fleet

// Figure is one number of an event's evidence.
type Figure struct {
	Name  string
	Value float64
	// Unit is such as "ms" or "slots", or empty for a plain number.
	Unit string
}
