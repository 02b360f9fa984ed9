package caller

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// DefaultSlack is the time after a request's deadline within which an outcome is due.
	DefaultSlack   = time.Second
	defaultTimeout = 2 * time.Second
	defaultSeed    = 1
	maxOutstanding = 4096
	dialTimeout    = 300 * time.Millisecond
	idleConns      = 64
	// drainingBackoff is how long no requests are sent to a node that refused one as draining.
	drainingBackoff = 5 * time.Second
)

// Caller sends requests of some kinds to some nodes.
type Caller struct {
	kinds  []Kind
	slack  time.Duration
	keyed  bool
	direct bool
	client *http.Client
	// outstanding limits the number of requests in flight.
	outstanding chan struct{}

	mu    sync.Mutex
	nodes []string
	// backoffUntil is the end of the backoff of each draining node.
	backoffUntil map[string]time.Time
	random       *rand.Rand
	records      []Record
	pending      sync.WaitGroup
}

// Option changes a setting of a caller.
type Option func(*Caller)

// WithSeed sets the seed for send times, kinds and nodes.
func WithSeed(seed uint64) Option {
	return func(c *Caller) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithSlack sets the time after the deadline within which an outcome is due.
func WithSlack(slack time.Duration) Option { return func(c *Caller) { c.slack = slack } }

// WithKeys adds an idempotency key to non-idempotent requests.
func WithKeys() Option { return func(c *Caller) { c.keyed = true } }

// WithDirect treats the nodes' addresses as addresses of backend servers, whose
// responses report no outcome. It provides times to compare with.
func WithDirect() Option { return func(c *Caller) { c.direct = true } }

// New returns a caller that sends to nodes, given by their caller addresses.
func New(nodes []string, kinds []Kind, options ...Option) *Caller {
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConns, DisableCompression: true,
	}
	c := &Caller{
		kinds: kinds, nodes: nodes, slack: DefaultSlack,
		backoffUntil: map[string]time.Time{},
		client:       &http.Client{Transport: transport}, outstanding: make(chan struct{}, maxOutstanding),
		random: rand.New(rand.NewPCG(defaultSeed, defaultSeed)),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// SetNodes replaces the nodes.
func (c *Caller) SetNodes(nodes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = nodes
}

// Run sends requests at a rate per second, with exponentially distributed gaps,
// until ctx ends; then it waits for the requests in flight.
func (c *Caller) Run(ctx context.Context, rate float64) {
	next := time.Now()
	for {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			c.pending.Wait()
			return
		case <-timer.C:
		}
		c.sendAsync(next)
		next = next.Add(c.gap(rate))
	}
}

// Records returns a copy of the records so far.
func (c *Caller) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

// FailureSummary returns the number of requests without an answer, one line per result and reason.
func (c *Caller) FailureSummary() []string {
	counts := map[string]int{}
	for _, record := range c.Records() {
		if record.Result != ResultAnswered {
			counts[fmt.Sprintf("%s reason=%q", record.Result, record.Reason)]++
		}
	}
	lines := make([]string, 0, len(counts))
	for _, label := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%d %s", counts[label], label))
	}
	return lines
}

// Send sends one request of a kind and returns its record, which is kept as well.
func (c *Caller) Send(kind Kind) Record {
	return c.sendDue(kind, time.Time{})
}

// sendDue sends one request that is due at a time.
func (c *Caller) sendDue(kind Kind, due time.Time) Record {
	record := Record{
		Request: fleet.RequestID(uuid.Must(uuid.NewV7()).String()), Kind: kind.Name,
		Idempotent: kind.Idempotent, Due: due,
	}
	if c.keyed && !kind.Idempotent {
		record.Key = uuid.Must(uuid.NewV7()).String()
	}
	return c.SendRecord(kind, record)
}

// SendRecord sends one request with the identifier and key of a given record.
func (c *Caller) SendRecord(kind Kind, record Record) Record {
	record.Sent = time.Now()
	c.exchange(kind, &record)
	record.Took = time.Since(record.Sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, record)
	return record
}

// sendAsync sends one request of a random kind, due at a time, in its own goroutine.
func (c *Caller) sendAsync(due time.Time) {
	kind := c.drawKind()
	c.outstanding <- struct{}{}
	c.pending.Go(func() {
		defer func() { <-c.outstanding }()
		c.sendDue(kind, due)
	})
}

func (c *Caller) gap(rate float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
}

// drawKind returns a random kind, weighted by share.
func (c *Caller) drawKind() Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0.0
	for _, kind := range c.kinds {
		total += kind.Share
	}
	remaining := c.random.Float64() * total
	for _, kind := range c.kinds {
		if remaining -= kind.Share; remaining < 0 {
			return kind
		}
	}
	return c.kinds[len(c.kinds)-1]
}

// backOff stops sending to a node for drainingBackoff.
func (c *Caller) backOff(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[node] = time.Now().Add(drainingBackoff)
}

// candidates returns the nodes in random order, without those in backoff unless all are.
func (c *Caller) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []string
	for _, node := range c.nodes {
		if time.Now().After(c.backoffUntil[node]) {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		nodes = append(nodes, c.nodes...)
	}
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}
