package daemon

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/adopter"
	"cowsliptally.example/cowsliptally/balancer"
	"cowsliptally.example/cowsliptally/broadcaster"
	"cowsliptally.example/cowsliptally/checkpointer"
	"cowsliptally.example/cowsliptally/configurator"
	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/delegator"
	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/drainer"
	"cowsliptally.example/cowsliptally/ejector"
	"cowsliptally.example/cowsliptally/evacuator"
	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fetcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/messenger"
	"cowsliptally.example/cowsliptally/prober"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/quota/enforcer"
	"cowsliptally.example/cowsliptally/reconciler"
	"cowsliptally.example/cowsliptally/recorder"
	"cowsliptally.example/cowsliptally/registrar"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/retrier"
	"cowsliptally.example/cowsliptally/roster"
	"cowsliptally.example/cowsliptally/settings"
)

// suffixLength is the number of random characters that make a node's identifier
// differ from that of its earlier starts.
const suffixLength = 8

// configurations provides the configuration in force.
type configurations interface {
	Configuration() fleet.Configuration
	Ready() bool
	// LastConfirmed returns when the origin of the configuration last answered.
	LastConfirmed() time.Time
}

// Daemon is one node.
type Daemon struct {
	set    settings.Node
	self   fleet.Member
	clock  clockwork.Clock
	logger *log.Logger
	client *http.Client
	// registry holds the metrics.
	registry metrics.Registry
	stop     Stop
	// leaving is set once the node shuts down.
	leaving atomic.Bool
	// endsWithBackend is set if the VM is removed once its last backend server has left.
	endsWithBackend bool
	// aborted is set once a shutdown has aborted callers' requests that only wait, and closing while it
	// waits for those that go on and closes their connections.
	aborted, closing atomic.Bool

	// source holds the configuration when it does not come from the log service.
	source adopter.Source
	// readers returns how many nodes may read the source of a document of some bytes; nil for
	// the default.
	readers func(bytes int) int
	// settle is the time after the start in which this node does not read the source.
	settle     time.Duration
	discover   func(context.Context) ([]string, error)
	departures registrar.Departures
	dialect    dispatcher.Dialect
	allowance  func(nodes int) retrier.Allowance
	wrapCaller func(http.Handler) http.Handler
	// grace returns the times of a shutdown; nil selects those of set.
	grace func() GracePeriod

	journal *recorder.Recorder
	// configurations is the replicator, or the adopter when there is a source.
	configurations configurations
	adopter        *adopter.Adopter
	delegator      *delegator.Delegator
	replicator     *replicator.Replicator
	fetcher        *fetcher.Fetcher
	configurator   *configurator.Configurator
	reconciler     *reconciler.Reconciler
	checkpointer   *checkpointer.Checkpointer
	roster         *roster.Roster
	registrar      *registrar.Registrar
	prober         *prober.Prober
	evaluator      *evaluator.Evaluator
	balancer       *balancer.Balancer
	ejector        *ejector.Ejector
	quarantiner    *quarantiner.Quarantiner
	deduplicator   *deduplicator.Deduplicator
	memory         *accountant.Accountant
	// heads is the memory for all heads in work.
	heads       *accountant.Accountant
	broadcaster *broadcaster.Broadcaster
	// retrier enforces a retry budget shared by the fleet; nil without one.
	retrier *retrier.Retrier
	// quotaRule bounds organisations over the whole fleet; without one, each node limits them itself.
	quotaRule  fleet.QuotaRule
	firstStart bool
	quota      *enforcer.Enforcer
	forwarder  *forwarder.Forwarder
	dispatcher *dispatcher.Dispatcher
	// work counts all work in flight of the node.
	work *drainer.Drainer
}

// New returns a node with validated settings; Run starts it.
func New(set settings.Node, options ...Option) *Daemon {
	d := &Daemon{
		set:        set,
		clock:      clockwork.NewRealClock(),
		logger:     log.New(io.Discard),
		client:     newClient(),
		registry:   metrics.NewRegistry(),
		work:       drainer.New(),
		stop:       noStop{},
		wrapCaller: func(callers http.Handler) http.Handler { return callers },
	}
	for _, option := range options {
		option(d)
	}
	d.self = fleet.Member{
		ID:            fleet.NodeID(set.Name + "-" + uuid.NewString()[:suffixLength]),
		Incarnation:   1,
		PeerAddress:   cmp.Or(set.AdvertisedPeerAddress, set.PeerAddress),
		CallerAddress: set.CallerAddress,
		Zone:          fleet.Zone(set.Zone),
		Region:        fleet.Region(set.Region),
		State:         fleet.MemberAlive,
	}
	d.journal = recorder.New(d.self.ID, recorder.WithClock(d.clock), recorder.WithLogger(d.logger), recorder.WithRegistry(d.registry))
	d.buildMembership()
	d.buildConfiguration()
	d.buildHealth()
	d.buildRequests()
	return d
}

// Self returns the node as it describes itself to others.
func (d *Daemon) Self() fleet.Member {
	return d.self
}

func (d *Daemon) buildMembership() {
	d.roster = roster.New(roster.WithClock(d.clock), roster.WithLeftRetention(registrar.RemovalLeases*d.set.Lease))
	options := []registrar.Option{
		registrar.WithClock(d.clock),
		registrar.WithCounter(inFlight{d}),
		registrar.WithDirectory(d.roster),
		registrar.WithLease(d.set.Lease),
		registrar.WithJournal(d.journal),
	}
	if d.departures != nil {
		options = append(options, registrar.WithDepartures(d.departures))
	}
	d.registrar = registrar.New(d.self.ID, d.self.Zone, options...)
	d.quarantiner = quarantiner.New(d.clock, quarantiner.WithRecorder(d.journal))
	d.prober = prober.New(d.self, d.roster, messenger.New(messenger.WithHTTPClient(d.client)),
		prober.WithClock(d.clock),
		prober.WithJournal(d.journal),
		prober.WithMetrics(d.journal.Registry()),
		prober.WithOwner(d.registrar),
		prober.WithProgress(progress{d}),
		prober.WithQuarantine(d.quarantiner),
		prober.WithSeeds(d.set.Peers...))
	d.registrar.Watch(d.prober)
}

func (d *Daemon) buildHealth() {
	d.evaluator = evaluator.New(
		evaluator.WithClock(d.clock),
		evaluator.WithDirectory(d.roster),
		evaluator.WithEjections(replicatedState{d}),
		evaluator.WithSettings(d.configurations))
	options := []balancer.Option{balancer.WithClock(d.clock), balancer.WithZone(d.self.Zone)}
	if !d.ownerEvaluates() {
		options = append(options, balancer.WithHealthSource(d.evaluator))
	}
	d.balancer = balancer.New(options...)
	if d.source != nil {
		return
	}
	d.ejector = ejector.New(d.self.ID, d.evaluator,
		ejector.WithAppender(d.replicator),
		ejector.WithClock(d.clock),
		ejector.WithState(replicatedState{d}),
		ejector.WithJournal(d.journal),
		ejector.WithLocal(d.registrar),
		ejector.WithMembers(d.roster),
		ejector.WithMessenger(evidenceSender{d}))
}

// Ready reports whether callers are to send new requests here.
func (d *Daemon) Ready() bool { return d.Unready() == "" }

// Unready returns why callers are to send their new requests to other nodes; empty if the node is ready. It serves those
// that it gets nevertheless.
func (d *Daemon) Unready() (why string) {
	switch {
	case d.leaving.Load():
		return "the node stops"
	case !d.configurations.Ready():
		return "no configuration is known"
	case !d.prober.Joined():
		return "the node has not joined the fleet"
	case d.endsWithBackend && d.registrar.IsVacated() && d.zone().HasEnough():
		return "the backend server has left"
	default:
		return ""
	}
}

// zone returns what is known of the other nodes of this node's availability zone. Of several nodes whose backend servers have
// left, those with lower identifiers go first: if each counted all others as gone, one departure too many would make all of
// them ready again.
func (d *Daemon) zone() (z evacuator.Zone) {
	for _, m := range d.roster.Members() {
		if m.ID == d.self.ID || m.Zone != d.self.Zone || !m.IsLive() {
			continue
		}
		goes := d.endsWithBackend && m.ID < d.self.ID && d.roster.IsVacated(m.ID)
		z = z.WithNode(!goes && !d.forwarder.IsStopping(m.ID))
	}
	return z
}

// Registrar returns the registrar, to which backend servers of this VM announce themselves.
func (d *Daemon) Registrar() *registrar.Registrar { return d.registrar }

// Announces reports whether this node is one of the few that notify all others of a new
// configuration. There must be a source.
func (d *Daemon) Announces() bool { return d.delegator.Announces() }

// Contact makes this node known to the nodes at these peer addresses, and them to it.
func (d *Daemon) Contact(ctx context.Context, addresses []string) { d.prober.Contact(ctx, addresses) }

// logHost returns the IP and port of the log service's validated address.
func logHost(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		return address
	}
	return parsed.Host
}

// Run serves until ctx is done, then finishes the requests in flight.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.registerGauges(); err != nil {
		return err
	}
	servers, err := d.listen()
	if err != nil {
		return err
	}
	failed, stop := d.startTasks(ctx)
	served := servers.serve()
	d.logger.Info("started", "node", d.self.ID, "callers", d.set.CallerAddress, "peers", d.set.PeerAddress, "zone", d.set.Zone)
	select {
	case <-ctx.Done():
	case err = <-served:
	case err = <-failed:
	}
	if shutdownErr := d.shutdown(servers); err == nil {
		err = shutdownErr
	}
	d.stopTasks(stop)
	d.logger.Info("stopped", "node", d.self.ID, "declined", d.dispatcher.Declined())
	return err
}
