package daemon

import (
	"cmp"
	"math"
	"net"
	"syscall"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/heads/gatekeeper"
	"cowsliptally.example/cowsliptally/pooler"
)

// Limits of heads where the settings name none.
const (
	defaultMaxHead = 16 << 10
	// peerHeadExtra is what a node adds to a head that it sends to another node, at most.
	peerHeadExtra = 8 << 10
	// connectionFactor times the size of the largest head is the memory for the heads of one
	// connection: 4 MB for 16,384 bytes, which weigh 2.3 MB if made of lines of three bytes.
	connectionFactor = 256
)

// The limit of file descriptors is divided by these. Callers, other nodes and connections to
// nodes and to backend servers each have a part, so that none takes what the others need.
const (
	callersDivisor = 5
	// peersDivisor accepts twice as many connections of nodes as a node opens to others, as some
	// nodes have more than their share. Nodes leave unused ones open for a minute.
	peersDivisor         = 3
	openPeersDivisor     = 6
	openBackendsDivisor  = 8
	pooledAddressDivisor = 8
	// otherDivisor is for each port for readiness, announcements and metrics.
	otherDivisor = 128
	minOther     = 8
	otherTimeout = 5 * time.Second
)

// The memory for heads is divided by these, for callers and other nodes, for answers and for
// the other ports. As much is reserved for heads as for bodies.
const (
	headsDivisor      = 2
	answersDivisor    = 4
	otherHeadsDivisor = 16
	// minHeads has one head of 16,384 bytes served however small the memory for bodies is.
	minHeads = 8 << 20
)

// earlyDivisor gives the share of the memory for bodies that pipelined answers may take while
// they wait for their turn.
const earlyDivisor = 8

// addressShare is the share of one remote address in a port's connections and memory. The
// smallest VM has 4,100 descriptors and 184 MB: 615 connections and 17 MB, as clients of one
// VM share an address.
const addressShare = 0.75

// descriptors returns the number of file descriptors that the node may use.
func (d *Daemon) descriptors() int {
	var limit syscall.Rlimit
	own := math.MaxInt32
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		own = int(min(limit.Cur, math.MaxInt32))
	}
	return min(cmp.Or(d.set.Descriptors, own), own)
}

// maxHead returns the size of the largest head of a caller's request.
func (d *Daemon) maxHead() int { return cmp.Or(d.set.MaxHead, defaultMaxHead) }

// share returns a share of one address.
func share[N int | int64](n N) N { return N(addressShare * float64(n)) }

// guard returns a gatekeeper of a port.
func (d *Daemon) guard(listener net.Listener, name string, limits gatekeeper.Limits, options ...gatekeeper.Option) *gatekeeper.Gatekeeper {
	limits.AddressConnections = share(limits.Connections)
	limits.AddressMemory = share(limits.Memory.Bound())
	limits.ConnectionMemory = int64(connectionFactor * limits.Head)
	return gatekeeper.New(listener, limits, append([]gatekeeper.Option{
		gatekeeper.WithClock(d.clock),
		gatekeeper.WithLogger(d.logger),
		gatekeeper.WithRegistry(d.registry, name),
	}, options...)...)
}

// acceptedLimits returns the limits of the ports for callers and for other nodes.
func (d *Daemon) acceptedLimits(head, divisor int) gatekeeper.Limits {
	return gatekeeper.Limits{
		Head:          head,
		HeaderTimeout: cmp.Or(d.set.HeaderTimeout, headerTimeout),
		Connections:   d.descriptors() / divisor,
		Memory:        d.heads.Share(d.heads.Bound() / headsDivisor),
	}
}

// Guard bounds the connections and heads of a port for readiness, announcements or metrics.
func (d *Daemon) Guard(listener net.Listener, name string) *gatekeeper.Gatekeeper {
	return d.guard(listener, name, gatekeeper.Limits{
		Head:          d.maxHead(),
		HeaderTimeout: otherTimeout,
		Connections:   max(minOther, d.descriptors()/otherDivisor),
		Memory:        d.heads.Share(max(minHeads/headsDivisor, d.heads.Bound()/otherHeadsDivisor)),
	})
}

// poolerLimits returns the options that bound the connections of a pooler and the heads of its
// answers.
func (d *Daemon) poolerLimits(divisor int) []pooler.Option {
	return []pooler.Option{
		pooler.WithConnections(min(pooler.DefaultConnections, d.descriptors()/pooledAddressDivisor)),
		pooler.WithOpen(d.descriptors() / divisor),
		pooler.WithHeads(d.heads.Share(d.heads.Bound() / answersDivisor)),
	}
}

// refusalLines tell the fleet's own clients that a request was not run.
var refusalLines = []string{
	fleet.HeaderExecuted + ": " + string(fleet.ExecutedNo),
	fleet.HeaderReason + ": " + string(fleet.ReasonMemory),
}

// callerRefusals returns the options of refusals to callers. Those of another platform know
// statuses only.
func (d *Daemon) callerRefusals() []gatekeeper.Option {
	if d.source != nil {
		return nil
	}
	return []gatekeeper.Option{gatekeeper.WithRefusalLines(refusalLines...)}
}
