package fleet

import "time"

// Milliseconds returns a figure with a time in milliseconds.
func Milliseconds(name string, d time.Duration) Figure {
	return Figure{Name: name, Value: float64(d) / float64(time.Millisecond), Unit: "ms"}
}

// Figure is one number of an event's evidence.
type Figure struct {
	Name  string
	Value float64
	// Unit is such as "ms" or "slots", or empty for a plain number.
	Unit string
}
