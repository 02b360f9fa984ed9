package caller

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// DefaultSlack is the time after a request's deadline by which an outcome is due.
	DefaultSlack   = time.Second
	defaultTimeout = 2 * time.Second
	defaultSeed    = 1
	maxOutstanding = 4096
	dialTimeout    = 300 * time.Millisecond
	idleConns      = 64
	// avoidTime is how long a node is passed over that said that it ends.
	avoidTime = 5 * time.Second
)

// Caller sends requests of some kinds to some nodes.
type Caller struct {
	kinds  []Kind
	slack  time.Duration
	keyed  bool
	direct bool
	client *http.Client
	// slots bounds the requests that wait for an answer.
	slots chan struct{}

	mu    sync.Mutex
	nodes []string
	// avoided says until when nodes are passed over that said that they end.
	avoided map[string]time.Time
	random  *rand.Rand
	records []Record
	pending sync.WaitGroup
}

// Option changes a setting of a caller.
type Option func(*Caller)

// WithSeed sets the seed of times, kinds and nodes.
func WithSeed(seed uint64) Option {
	return func(c *Caller) { c.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithSlack sets the time after the deadline by which an outcome is due.
func WithSlack(slack time.Duration) Option { return func(c *Caller) { c.slack = slack } }

// WithKeys gives non-idempotent requests an idempotency key.
func WithKeys() Option { return func(c *Caller) { c.keyed = true } }

// WithDirect takes the nodes' addresses for backend servers' own, whose answers
// tell no outcome; it serves to compare times.
func WithDirect() Option { return func(c *Caller) { c.direct = true } }

// New returns a caller of nodes, given by their caller addresses.
func New(nodes []string, kinds []Kind, options ...Option) *Caller {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, DisableCompression: true,
	}
	c := &Caller{
		kinds: kinds, nodes: nodes, slack: DefaultSlack,
		avoided: map[string]time.Time{},
		client:  &http.Client{Transport: transport}, slots: make(chan struct{}, maxOutstanding),
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

// Run sends requests at a rate per second, with exponential gaps, until ctx
// ends; then it waits for the outcomes that are due.
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
		c.launch()
		next = next.Add(c.gap(rate))
	}
}

// Records returns a copy of what was recorded so far.
func (c *Caller) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Record(nil), c.records...)
}

// Reasons tells how many requests were not answered, by result and reason, one a line.
func (c *Caller) Reasons() []string {
	counts := map[string]int{}
	for _, record := range c.Records() {
		if record.Result != ResultAnswered {
			counts[fmt.Sprintf("%s reason=%q", record.Result, record.Reason)]++
		}
	}
	lines := make([]string, 0, len(counts))
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%d %s", counts[what], what))
	}
	return lines
}

// Send sends one request of a kind and returns its record, which is kept as well.
func (c *Caller) Send(kind Kind) Record {
	record := Record{
		Request: fleet.RequestID(uuid.Must(uuid.NewV7()).String()), Kind: kind.Name,
		Idempotent: kind.Idempotent,
	}
	if c.keyed && !kind.Idempotent {
		record.Key = uuid.Must(uuid.NewV7()).String()
	}
	return c.Submit(kind, record)
}

// Submit sends one request with the identifier and key of a given record.
func (c *Caller) Submit(kind Kind, record Record) Record {
	record.Sent = time.Now()
	c.exchange(kind, &record)
	record.Took = time.Since(record.Sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, record)
	return record
}

// launch sends one request of a drawn kind in its own goroutine.
func (c *Caller) launch() {
	kind := c.draw()
	c.slots <- struct{}{}
	c.pending.Go(func() {
		defer func() { <-c.slots }()
		c.Send(kind)
	})
}

func (c *Caller) gap(rate float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.ExpFloat64() / rate * float64(time.Second))
}

// draw returns a kind by the shares.
func (c *Caller) draw() Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0.0
	for _, kind := range c.kinds {
		total += kind.Share
	}
	left := c.random.Float64() * total
	for _, kind := range c.kinds {
		if left -= kind.Share; left < 0 {
			return kind
		}
	}
	return c.kinds[len(c.kinds)-1]
}

// avoid passes a node over for a while.
func (c *Caller) avoid(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[node] = time.Now().Add(avoidTime)
}

// order returns the nodes in a drawn order, without those that are avoided.
func (c *Caller) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []string
	for _, node := range c.nodes {
		if time.Now().After(c.avoided[node]) {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		nodes = append(nodes, c.nodes...)
	}
	c.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}
