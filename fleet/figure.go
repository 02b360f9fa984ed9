package fleet

import "time"

// Milliseconds returns a figure with a duration in milliseconds.
func Milliseconds(name string, d time.Duration) Figure {
	return Figure{Name: name, Value: float64(d) / float64(time.Millisecond), Unit: "ms"}
}

// Figure is a named number that explains an event.
type Figure struct {
	Name  string
	Value float64
	// Unit is a unit such as "ms" or "slots"; empty for a plain number.
	Unit string
}
