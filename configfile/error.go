package configfile

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a failure.
type Kind string

const (
	// KindSyntax means that a file is not YAML of a configuration.
	KindSyntax Kind = "syntax"
	// KindTwice means that a file names a thing twice.
	KindTwice Kind = "twice"
)

// Error is a failure to read or write a file.
type Error = fault.Error[Kind]
