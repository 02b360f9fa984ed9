package operator

import (
	"context"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Fleet asks the other nodes.
type Fleet interface {
	// Revisions returns one entry for each other live node.
	Revisions(ctx context.Context) []*cowsliptallyv1.NodeRevision
}
