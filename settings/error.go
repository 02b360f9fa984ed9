package settings

import "fmt"

// Error is returned for a setting with an invalid value.
type Error struct {
	// Flag is the command-line flag, such as "--zone".
	Flag     string
	Value    string
	Expected string
}

// Error returns the flag, its value and what was expected.
func (e *Error) Error() string {
	return fmt.Sprintf("flag %s has value %q, expected %s", e.Flag, e.Value, e.Expected)
}
