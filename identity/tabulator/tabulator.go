// Package tabulator counts what became of organisations' requests.
//
// It counts each request of fleets with up to 490,000 organisations. Counters by organisation
// are kept for a bounded number of them, as each metric costs memory and a line of output.
package tabulator

import (
	"sync"

	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/fleet"
)

// Outcome is what became of an organisation's request.
type Outcome string

const (
	// OutcomeAdmitted is a request with a valid key and within the organisation's limit.
	OutcomeAdmitted Outcome = "admitted"
	// OutcomeKey is a request without a valid key; its organisation is not known.
	OutcomeKey Outcome = "key"
	// OutcomeLimit is a request over the organisation's limit.
	OutcomeLimit Outcome = "limit"
	// OutcomeGivenBack is an admitted request that did not run and does not count for the limit.
	OutcomeGivenBack Outcome = "returned"
)

const (
	// prefix begins the names of all counters.
	prefix = "organisation."
	// maxOrganisations is the number of organisations with counters of their own. With a
	// counter for each outcome they add fewer than 200 metrics to a node's.
	maxOrganisations = 64
)

// Tabulator counts outcomes in a registry. It is safe for concurrent use.
type Tabulator struct {
	registry metrics.Registry

	mu sync.RWMutex
	// counted holds the organisations with counters of their own: the first that were seen.
	counted map[fleet.Organisation]bool
}

// New returns a tabulator that registers its counters in a registry.
func New(registry metrics.Registry) *Tabulator {
	return &Tabulator{registry: registry, counted: make(map[fleet.Organisation]bool)}
}

// Count counts one request: in the total of its outcome, and by its organisation if that is
// known and has counters of its own.
func (t *Tabulator) Count(outcome Outcome, organisation fleet.Organisation) {
	total := prefix + string(outcome)
	metrics.GetOrRegisterCounter(total, t.registry).Inc(1)
	if organisation != "" && t.counts(organisation) {
		metrics.GetOrRegisterCounter(total+"."+string(organisation), t.registry).Inc(1)
	}
}

// counts reports whether an organisation has counters of its own, which it gets while there
// are fewer than maxOrganisations.
func (t *Tabulator) counts(organisation fleet.Organisation) bool {
	t.mu.RLock()
	counted, full := t.counted[organisation], len(t.counted) >= maxOrganisations
	t.mu.RUnlock()
	if counted || full {
		return counted
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.counted) < maxOrganisations {
		t.counted[organisation] = true
	}
	return t.counted[organisation]
}
