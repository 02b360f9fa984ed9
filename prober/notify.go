package prober

import (
	"context"

	"golang.org/x/sync/errgroup"

	"cowsliptally.example/cowsliptally/fleet"
)

// Notify probes some nodes at once, so that they hear of this node's progress. A node that
// does not answer is left to the regular probes.
func (p *Prober) Notify(ctx context.Context, targets []fleet.Member) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	for _, target := range targets {
		if ctx.Err() != nil {
			break
		}
		group.Go(func() error {
			_, _ = p.probeDirect(ctx, target, p.timeout) // counted as a failed probe
			return nil
		})
	}
	_ = group.Wait() // no probe returns an error
}
