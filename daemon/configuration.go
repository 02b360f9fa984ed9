package daemon

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/adopter"
	"cowsliptally.example/cowsliptally/checkpointer"
	"cowsliptally.example/cowsliptally/configurator"
	"cowsliptally.example/cowsliptally/delegator"
	"cowsliptally.example/cowsliptally/fetcher"
	"cowsliptally.example/cowsliptally/follower"
	"cowsliptally.example/cowsliptally/logclient"
	"cowsliptally.example/cowsliptally/publisher"
	"cowsliptally.example/cowsliptally/reconciler"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/tailer"
)

func (d *Daemon) buildConfiguration() {
	if d.source != nil {
		d.delegator = delegator.New(d.self.ID, d.roster.Members, d.settle, d.delegatorOptions()...)
		d.adopter = adopter.New(d.self.ID, d.source,
			adopter.WithClock(d.clock),
			adopter.WithDelegator(d.delegator, func(ctx context.Context) { d.prober.Notify(ctx, d.delegator.Targets()) }),
			adopter.WithPeers(adopter.NewPeers(d.client), d.roster.Members),
			adopter.WithRecorder(d.journal))
		d.configurations = d.adopter
		return
	}
	d.fetcher = fetcher.New(d.self.ID, d.roster.Members, fetcher.WithClient(d.client))
	client := logclient.New(logHost(d.set.Log))
	d.replicator = replicator.New(stream{publisher.New(client), client},
		replicator.WithClock(d.clock),
		replicator.WithPeers(d.fetcher),
		replicator.WithRecorder(d.journal),
		replicator.WithTail(follower.New(tailer.New(client, tailer.WithClock(d.clock)))))
	d.configurations = d.replicator
	d.configurator = configurator.New(d.self.ID, d.replicator, d.fetcher, configurator.WithClock(d.clock))
	d.reconciler = reconciler.New(d.self.ID, d.replicator, d.registrar.Local, d.roster.Members,
		reconciler.WithClock(d.clock))
	d.checkpointer = checkpointer.New(d.self.ID, d.replicator, d.roster.Members,
		checkpointer.WithClock(d.clock),
		checkpointer.WithRecorder(d.journal),
		checkpointer.WithMaxInterval(d.set.Checkpoint))
}

// delegatorOptions returns the options of the delegator, which is built before the adopter.
func (d *Daemon) delegatorOptions() []delegator.Option {
	options := []delegator.Option{
		delegator.WithClock(d.clock),
		delegator.WithLastRead(func() time.Time { return d.adopter.LastRead() }),
	}
	if d.readers != nil {
		options = append(options, delegator.WithReaders(func() int {
			return d.readers(len(d.adopter.Document().Content))
		}))
	}
	return options
}
