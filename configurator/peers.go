package configurator

import (
	"context"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Peers queries the other nodes.
type Peers interface {
	// Revisions returns one entry for each other live node: its revision, or the error
	// of the query.
	Revisions(ctx context.Context) []*cowsliptallyv1.NodeRevision
}
