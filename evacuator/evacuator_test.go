package evacuator_test

import (
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/evacuator"
)

// TestZoneThatIsShortOfNodesLetsNoneGo guards against callers that are sent to nodes that refuse them, as too few of their
// zone are ready.
func TestZoneThatIsShortOfNodesLetsNoneGo(t *testing.T) {
	for name, tc := range map[string]struct {
		ready, others int
		enough        bool
	}{
		"alone":            {},
		"one other":        {ready: 1},
		"two others":       {ready: 2, enough: true},
		"all ready":        {ready: 18, enough: true},
		"two thirds":       {ready: 12, others: 5, enough: true},
		"fewer":            {ready: 11, others: 6},
		"half":             {ready: 9, others: 8},
		"no other is here": {others: 8},
	} {
		t.Run(name, func(t *testing.T) {
			var z evacuator.Zone
			for range tc.ready {
				z = z.WithNode(true)
			}
			for range tc.others {
				z = z.WithNode(false)
			}
			is.New(t).Equal(z.HasEnough(), tc.enough)
		})
	}
}
