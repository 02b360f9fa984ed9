package logclient

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failed call of the log service.
type Kind string

const (
	// KindDown means that the log service took no notice of the call: it had no effect.
	KindDown Kind = "down"
	// KindTimeout means that no answer came: an append may or may not have taken effect.
	KindTimeout Kind = "timeout"
	// KindExpired means that records from the wanted offset on are no longer kept.
	KindExpired Kind = "expired"
	// KindRefused means that the log service refused the call; it had no effect.
	KindRefused Kind = "refused"
	// KindBroken means that an answer could not be understood; an append may have taken effect.
	KindBroken Kind = "broken"
)

// Error is a failed call of the log service.
type Error = fault.Error[Kind]

// KindOf returns the kind of err, or "" when it is not of this package.
func KindOf(err error) Kind {
	return fault.KindOf[Kind](err)
}
