package daemon

import (
	"time"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/broadcaster"
	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/expirer"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/identity/tabulator"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/retrier"
	"cowsliptally.example/cowsliptally/settings"
)

// maxAttempts bounds the attempts of one request when an allowance bounds those
// that reach backend servers; each of the others costs one message.
const maxAttempts = 8

// maxBackendInterim bounds the answers with status 1xx of a backend server before the last one: one
// a second for the longest time limit of a request.
const maxBackendInterim = 320

func (d *Daemon) buildRequests() {
	d.deduplicator = deduplicator.New(d.self.ID, d.clock)
	d.memory = accountant.New(d.set.Memory)
	d.heads = accountant.New(max(d.set.Memory, minHeads))
	d.broadcaster = broadcaster.New(d.self.ID, d.roster, d.client, broadcaster.WithClock(d.clock))
	if d.allowance != nil {
		d.retrier = retrier.New(
			retrier.WithAllowance(func() retrier.Allowance { return d.allowance(d.prober.Nodes()) }),
			retrier.WithAttempts(maxAttempts),
			retrier.WithClock(d.clock),
			retrier.WithOwnerCharge())
	}
	d.buildQuota()
	d.forwarder = forwarder.New(d.self.ID, d.configurations, d.roster, d.balancer, d.forwarderOptions()...)
	d.dispatcher = dispatcher.New(d.self.ID, d.registrar, d.dispatcherOptions()...)
}

func (d *Daemon) forwarderOptions() []forwarder.Option {
	options := []forwarder.Option{
		forwarder.WithMaxAnswerSize(d.set.MaxAnswer),
		forwarder.WithMaxBodySize(d.set.MaxBody),
		forwarder.WithChecker(d.prober),
		forwarder.WithDepartures(d.prober),
		forwarder.WithClock(d.clock),
		forwarder.WithNoWaitAttempts(d.set.Glances),
		forwarder.WithDeduplicator(d.deduplicator),
		forwarder.WithDrainer(d.work),
		forwarder.WithMemory(d.memory),
		forwarder.WithPooler(d.newPooler("connections.peer", openPeersDivisor, forwarder.DefaultProgress, d.set.PeerIdle)),
		forwarder.WithQuarantiner(d.quarantiner),
		forwarder.WithRecorder(d.journal),
		forwarder.WithTabulator(tabulator.New(d.registry)),
		forwarder.WithTimeout(d.set.Timeout),
	}
	if !d.ownerEvaluates() {
		options = append(options, forwarder.WithObserver(observer{d.evaluator}))
	}
	if d.set.RepeatErrors {
		options = append(options, forwarder.WithRetryOnError())
	}
	if d.retrier != nil {
		options = append(options, forwarder.WithRetrier(d.retrier))
	}
	if d.quota != nil {
		options = append(options, forwarder.WithQuota(d.quota))
	}
	return options
}

func (d *Daemon) dispatcherOptions() []dispatcher.Option {
	options := []dispatcher.Option{
		dispatcher.WithMaxAnswerSize(d.set.MaxAnswer),
		dispatcher.WithMaxBodySize(d.set.MaxBody),
		dispatcher.WithClock(d.clock),
		dispatcher.WithConfigurationSource(d.configurations),
		dispatcher.WithDeduplicator(d.deduplicator),
		dispatcher.WithDrainer(d.work),
		dispatcher.WithMembers(d.roster),
		dispatcher.WithMemory(d.memory),
		dispatcher.WithPooler(d.newPooler("connections.backend", openBackendsDivisor, dispatcher.DefaultProgressTimeout, d.set.BackendIdle,
			pooler.WithInterim(maxBackendInterim), pooler.WithExpirer(expirer.New(expirer.WithClock(d.clock))))),
		dispatcher.WithQuarantiner(d.quarantiner),
		dispatcher.WithRecorder(d.journal),
		dispatcher.WithSuspectReporter(d.broadcaster),
	}
	if d.ownerEvaluates() {
		options = append(options, dispatcher.WithFailureEstimates())
	} else {
		options = append(options, dispatcher.WithObserver(observer{d.evaluator}))
	}
	if d.retrier != nil {
		options = append(options, dispatcher.WithRetryBudget(d.retrier))
	}
	if d.dialect != nil {
		options = append(options, dispatcher.WithDialect(d.dialect))
	}
	if d.set.Echoes {
		options = append(options, dispatcher.WithRequiredEcho())
	}
	if d.set.Undelimited {
		options = append(options, dispatcher.WithUndelimitedAnswers())
	}
	return options
}

// newPooler returns a pooler whose connections are counted under a name.
func (d *Daemon) newPooler(name string, divisor int, progress, idle time.Duration, options ...pooler.Option) *pooler.Pooler {
	return pooler.New(append(append(d.poolerLimits(divisor), options...),
		pooler.WithClock(d.clock),
		pooler.WithDialTimeout(d.set.DialTimeout),
		pooler.WithIdleTimeout(idle),
		pooler.WithMetrics(d.registry, name),
		pooler.WithProgress(progress))...)
}

// ownerEvaluates reports whether only owners evaluate the health of their backend servers.
func (d *Daemon) ownerEvaluates() bool { return d.set.Verdicts == settings.VerdictsOwner }
