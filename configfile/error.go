package configfile

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failed operation.
type Kind string

const (
	// KindSyntax means that a file is not a configuration in YAML, or that a
	// configuration cannot be encoded.
	KindSyntax Kind = "syntax"
	// KindDuplicate means that a file has two entries of the same kind and name.
	KindDuplicate Kind = "twice"
)

// Error is a failure to decode or encode a file.
type Error = fault.Error[Kind]
