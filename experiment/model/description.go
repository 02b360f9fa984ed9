package model

import "strings"

// Description describes a scenario or policy.
type Description struct {
	Name    string
	Summary string
}

func compareDescriptions(a, b Description) int { return strings.Compare(a.Name, b.Name) }
