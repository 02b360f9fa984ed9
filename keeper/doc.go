// Package keeper keeps the fleet's folded state at one node. It tails the log
// service, and falls back on peers while the log cannot be read; it proposes
// configuration changes and appends facts.
//
//	k := keeper.New(client,
//		keeper.WithPeers(peers),
//		keeper.WithRecorder(journal),
//		keeper.WithClock(clock))
//	go k.Run(ctx)
//	verdict, err := k.Propose(ctx, proposal)
//
// The state never goes back to an older offset or revision. Ready is false
// until the state was compared with the log or with several peers, and again
// after the process was paused.
package keeper
