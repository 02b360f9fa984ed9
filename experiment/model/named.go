package model

import "strings"

// Named is a scenario or policy with a description.
type Named struct {
	Name  string
	About string
}

func compareNamed(a, b Named) int { return strings.Compare(a.Name, b.Name) }
