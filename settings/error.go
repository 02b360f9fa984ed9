package settings

import "fmt"

// Error is a setting with a wrong value.
type Error struct {
	// Flag is the command-line flag, such as "--zone".
	Flag     string
	Value    string
	Expected string
}

// Error names the flag, the value and what was expected.
func (e *Error) Error() string {
	return fmt.Sprintf("flag %s has value %q, expected %s", e.Flag, e.Value, e.Expected)
}
