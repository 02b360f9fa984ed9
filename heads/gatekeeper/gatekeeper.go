package gatekeeper

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"cowsliptally.example/cowsliptally/accountant"
)

// logInterval is the time between two log lines of one port about refusals.
const logInterval = 10 * time.Second

// Gatekeeper is a net.Listener.
type Gatekeeper struct {
	net.Listener
	limits   Limits
	clock    clockwork.Clock
	logger   *log.Logger
	registry metrics.Registry
	// name is that of the port in logs and metrics.
	name string
	// lines are further header lines of refusals, each with its end.
	lines string
	// lineLimit bounds the log lines.
	lineLimit *rate.Limiter
	refused   map[reason]metrics.Counter

	mu        sync.Mutex
	count     int
	addresses map[string]*address
}

// address is what the connections of one remote IP address use.
type address struct {
	connections int
	memory      *accountant.Accountant
}

// New returns a gatekeeper of the connections of a listener.
func New(listener net.Listener, limits Limits, options ...Option) *Gatekeeper {
	g := &Gatekeeper{
		Listener: listener, limits: limits, clock: clockwork.NewRealClock(), registry: metrics.NewRegistry(),
		name: "port", addresses: make(map[string]*address),
		lineLimit: rate.NewLimiter(rate.Every(logInterval), 1), refused: make(map[reason]metrics.Counter),
	}
	for _, option := range options {
		option(g)
	}
	for _, why := range reasons {
		g.refused[why] = metrics.GetOrRegisterCounter("heads."+g.name+"."+string(why), g.registry)
	}
	_ = g.registry.Register("heads."+g.name+".connections", metrics.NewFunctionalGauge(g.connections))
	_ = g.registry.Register("heads."+g.name+".bytes", metrics.NewFunctionalGauge(limits.Memory.Reserved))
	return g
}

// Accept returns the next connection within the limits. It closes others at once.
func (g *Gatekeeper) Accept() (net.Conn, error) {
	for {
		accepted, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
		if err != nil {
			ip = accepted.RemoteAddr().String()
		}
		from, why := g.enter(ip)
		if why == "" {
			return &conn{Conn: accepted, gate: g, ip: ip, from: from}, nil
		}
		g.note(why, ip)
		_ = accepted.Close() // nothing was read from it
	}
}

// enter counts a connection, or returns why it is refused.
func (g *Gatekeeper) enter(ip string) (*address, reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count >= g.limits.Connections {
		return nil, reasonConnections
	}
	from, found := g.addresses[ip]
	if !found {
		from = &address{memory: g.limits.Memory.Share(g.limits.AddressMemory)}
		g.addresses[ip] = from
	}
	if from.connections >= g.limits.AddressConnections {
		return nil, reasonAddress
	}
	from.connections++
	g.count++
	return from, ""
}

// leave ends the count of a connection.
func (g *Gatekeeper) leave(ip string, from *address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if from.connections--; from.connections == 0 {
		delete(g.addresses, ip)
	}
}

func (g *Gatekeeper) connections() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.count)
}

// Context is the ConnContext of an http.Server.
func (g *Gatekeeper) Context(ctx context.Context, c net.Conn) context.Context {
	if found := unwrap(c); found != nil {
		return context.WithValue(ctx, connKey{}, found)
	}
	return ctx
}

// connKey is the key of the connection in a context.
type connKey struct{}

// unwrap returns the gatekeeper's connection, which others may wrap.
func unwrap(c net.Conn) *conn {
	for {
		switch inner := c.(type) {
		case *conn:
			return inner
		case interface{ NetConn() net.Conn }:
			c = inner.NetConn()
		default:
			return nil
		}
	}
}
