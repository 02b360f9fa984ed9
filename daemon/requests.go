package daemon

import (
	"time"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/guard"
	"cowsliptally.example/cowsliptally/poisoner"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/retrier"
	"cowsliptally.example/cowsliptally/settings"
	"cowsliptally.example/cowsliptally/spreader"
)

// maxAttempts bounds the attempts of one request when an allowance bounds those
// that reach backend servers; each of the others costs one message.
const maxAttempts = 8

func (d *Daemon) buildRequests() {
	d.guard = guard.New(d.self.ID, d.clock)
	d.poisoner = poisoner.New(d.clock)
	d.memory = accountant.New(d.set.Memory)
	d.spreader = spreader.New(d.self.ID, d.roster, d.client, spreader.WithClock(d.clock))
	if d.allowance != nil {
		d.retrier = retrier.New(
			retrier.WithAllowance(func() retrier.Allowance { return d.allowance(d.prober.Nodes()) }),
			retrier.WithAttempts(maxAttempts),
			retrier.WithClock(d.clock),
			retrier.WithLoans())
	}
	d.forwarder = forwarder.New(d.self.ID, d.configurations, d.roster, d.balancer, d.forwarderOptions()...)
	d.dispatcher = dispatcher.New(d.self.ID, d.registrar, d.dispatcherOptions()...)
}

func (d *Daemon) forwarderOptions() []forwarder.Option {
	options := []forwarder.Option{
		forwarder.WithAnswerBound(d.set.MaxAnswer),
		forwarder.WithBodyBound(d.set.MaxBody),
		forwarder.WithChecker(d.prober),
		forwarder.WithClock(d.clock),
		forwarder.WithGlances(d.set.Glances),
		forwarder.WithGuard(d.guard),
		forwarder.WithMemory(d.memory),
		forwarder.WithPooler(d.newPooler("connections.peer", forwarder.DefaultProgress, d.set.PeerIdle)),
		forwarder.WithPoisoner(d.poisoner),
		forwarder.WithRecorder(d.journal),
		forwarder.WithTimeout(d.set.Timeout),
	}
	if !d.ownerEvaluates() {
		options = append(options, forwarder.WithObserver(observer{d.judge}))
	}
	if d.set.RepeatErrors {
		options = append(options, forwarder.WithRepeatErrors())
	}
	if d.retrier != nil {
		options = append(options, forwarder.WithRetrier(d.retrier))
	}
	return options
}

func (d *Daemon) dispatcherOptions() []dispatcher.Option {
	options := []dispatcher.Option{
		dispatcher.WithAnswerBound(d.set.MaxAnswer),
		dispatcher.WithBodyBound(d.set.MaxBody),
		dispatcher.WithClock(d.clock),
		dispatcher.WithConfigurations(d.configurations),
		dispatcher.WithGuard(d.guard),
		dispatcher.WithMembers(d.roster),
		dispatcher.WithMemory(d.memory),
		dispatcher.WithPooler(d.newPooler("connections.backend", dispatcher.DefaultProgress, d.set.BackendIdle)),
		dispatcher.WithPoisoner(d.poisoner),
		dispatcher.WithRecorder(d.journal),
		dispatcher.WithSuspects(d.spreader),
	}
	if d.ownerEvaluates() {
		options = append(options, dispatcher.WithEstimates())
	} else {
		options = append(options, dispatcher.WithObserver(observer{d.judge}))
	}
	if d.retrier != nil {
		options = append(options, dispatcher.WithLender(d.retrier))
	}
	if d.dialect != nil {
		options = append(options, dispatcher.WithDialect(d.dialect))
	}
	if d.set.Undelimited {
		options = append(options, dispatcher.WithUndelimited())
	}
	return options
}

// newPooler returns a pooler whose connections are counted under a name.
func (d *Daemon) newPooler(name string, progress, idle time.Duration) *pooler.Pooler {
	return pooler.New(
		pooler.WithClock(d.clock),
		pooler.WithDialTimeout(d.set.DialTimeout),
		pooler.WithIdleTimeout(idle),
		pooler.WithMetrics(d.registry, name),
		pooler.WithProgress(progress))
}

// ownerEvaluates reports whether only owners evaluate the health of their backend servers.
func (d *Daemon) ownerEvaluates() bool { return d.set.Verdicts == settings.VerdictsOwner }
