package pooler

import (
	"errors"

	"cowsliptally.example/cowsliptally/fault"
)

// classify returns the error of an exchange that failed for a cause.
func classify(address string, err, cause error, used *conn) error {
	switch {
	case errors.Is(cause, errSilent):
		return fault.New("send", KindSilent, "to %s: %w", address, errSilent)
	case errors.Is(cause, errSuperseded):
		return fault.New("send", KindSuperseded, "to %s: %w", address, errSuperseded)
	case used == nil && errors.Is(err, errFull):
		return fault.New("send", KindFull, "connect to %s: %w", address, err)
	case used == nil:
		return fault.New("send", KindDial, "connect to %s: %w", address, err)
	default:
		return fault.New("send", KindBroken, "to %s: %w", address, err)
	}
}
