package logclient

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failed call of the log service.
type Kind string

const (
	// KindDown means that the log service was unavailable: the call had no effect.
	KindDown Kind = "down"
	// KindTimeout means that no response came or that the log service failed: an append
	// may or may not have taken effect.
	KindTimeout Kind = "timeout"
	// KindExpired means that the log service no longer keeps the record at the requested offset.
	KindExpired Kind = "expired"
	// KindRefused means that the log service rejected the call; it had no effect.
	KindRefused Kind = "refused"
	// KindMalformed means that a response could not be decoded or was incomplete; an append may have taken effect.
	KindMalformed Kind = "broken"
)

// Error is a failed call of the log service.
type Error = fault.Error[Kind]

// KindOf returns the kind of err, or "" when it is not of this package.
func KindOf(err error) Kind {
	return fault.KindOf[Kind](err)
}
