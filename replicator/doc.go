// Package replicator maintains the replicated state of the fleet at one node. It
// tails the log service, falls back on peers while the log cannot be read,
// proposes configuration changes and appends records.
//
//	r := replicator.New(client,
//		replicator.WithPeers(peers),
//		replicator.WithRecorder(journal),
//		replicator.WithClock(clock))
//	go r.Run(ctx)
//	result, err := r.Propose(ctx, proposal)
//
// The state never goes back to an older offset or revision. Ready returns false
// until the state was compared with the log or with several peers, and again
// after a pause of the process until the next comparison.
package replicator
