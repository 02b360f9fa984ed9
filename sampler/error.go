package sampler

import "cowsliptally.example/cowsliptally/fault"

// Kind is the class of a sampler's failure.
type Kind string

// KindFormat means that the figures of a thread cannot be parsed.
const KindFormat Kind = "format"

// Error is a failed operation of this package.
type Error = fault.Error[Kind]
