package evacuator_test

import (
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/evacuator"
)

// TestZoneThatIsShortOfNodesSparesNone guards against callers that are sent to nodes that refuse them, as too few of their
// zone are ready.
func TestZoneThatIsShortOfNodesSparesNone(t *testing.T) {
	for name, tc := range map[string]struct {
		ready, others int
		spares        bool
	}{
		"alone":            {},
		"one other":        {ready: 1},
		"two others":       {ready: 2, spares: true},
		"all ready":        {ready: 18, spares: true},
		"two thirds":       {ready: 12, others: 5, spares: true},
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
			is.New(t).Equal(z.CanSpare(), tc.spares)
		})
	}
}
