package forwarder_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/pooler"
)

// entry is the result that a caller received for one submission.
type entry struct {
	id, key  string
	once     bool
	executed string
	reason   string
	own      bool
}

// shortProgress sets a progress timeout so short that some live connections are found silent.
func shortProgress() forwarder.Option {
	return forwarder.WithPooler(pooler.New(pooler.WithProgress(200 * time.Millisecond)))
}

// history runs callers against a fleet with faults and records their results.
type history struct {
	rig     *rig
	ledger  *ledger
	callers []string
	mu      sync.Mutex
	entries []entry
}

// faulty runs requests but breaks one connection in ten before and one in ten after it
// records the request.
func (h *history) faulty(seed uint64) http.Handler {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		outcome := random.IntN(10)
		mu.Unlock()
		switch outcome {
		case 0:
			panic(http.ErrAbortHandler)
		case 1:
			h.ledger.recordAndBreak(w, r)
		case 2:
			time.Sleep(30 * time.Millisecond)
		}
		h.ledger.ServeHTTP(w, r)
	})
}

// call lets one caller send submissions, some under a key and then up to three times.
func (h *history) call(t *testing.T, caller uint64, submissions int) {
	random := rand.New(rand.NewPCG(caller, 3))
	for i := range submissions {
		e := entry{once: random.IntN(3) > 0}
		repeats := 1
		if e.once && random.IntN(2) == 0 {
			e.key, repeats = keyOf(t, h.rig), 3
		}
		for range repeats {
			e.id = fmt.Sprint("r", caller, "-", i, "-", random.Uint32())
			h.submit(t, e, h.callers[random.IntN(len(h.callers))])
		}
	}
}

func (h *history) submit(t *testing.T, e entry, ingress string) {
	method, path := "GET", "/"
	if e.once {
		method, path = "POST", "/refund"
	}
	headers := []string{fleet.HeaderRequestID, e.id, fleet.HeaderTimeout, "1000"}
	if e.key != "" {
		headers = append(headers, fleet.HeaderIdempotencyKey, e.key)
	}
	response, content := sendRequestTo(t, ingress, method, path, e.id, headers...)
	e.executed = response.Header.Get(fleet.HeaderExecuted)
	e.reason = response.Header.Get(fleet.HeaderReason)
	e.own = content == method+" "+path+" "+e.id
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = append(h.entries, e)
}

// check compares the results of callers with the runs at backend servers.
func (h *history) check(t *testing.T) {
	byKey := map[string]int{}
	results := map[string]int{}
	for _, e := range h.entries {
		ran := h.ledger.count(e.id)
		results[e.executed+" "+e.reason]++
		byKey[e.key] += ran
		if e.executed == "yes" && (!e.own || ran == 0) {
			t.Errorf("%s was answered, own answer: %v, ran %d times", e.id, e.own, ran)
		}
		if e.executed == "no" && ran > 0 {
			t.Errorf("%s was reported as not run (%s) and ran %d times", e.id, e.reason, ran)
		}
		if e.once && ran > 1 {
			t.Errorf("%s ran %d times", e.id, ran)
		}
		if e.key != "" && byKey[e.key] > 1 {
			t.Errorf("key %s ran %d times", e.key, byKey[e.key])
		}
		if e.executed != "yes" && e.executed != "no" && e.executed != "unknown" {
			t.Errorf("%s was reported as %q", e.id, e.executed)
		}
	}
	t.Logf("%d submissions: %v", len(h.entries), results)
	if results["yes "] < len(h.entries)/10 {
		t.Errorf("only %d of %d submissions were answered", results["yes "], len(h.entries))
	}
}

// TestResultsMatchRuns sends requests through three nodes to three owners while
// links go silent and come back late, backend servers break connections and drain.
func TestResultsMatchRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := &history{rig: newRig(t, shortProgress()), ledger: newLedger()}
	h.callers = []string{h.rig.caller.URL}
	for _, name := range []fleet.NodeID{"second", "third"} {
		h.rig.addIngress(name, shortProgress())
		h.callers = append(h.callers, h.rig.caller.URL)
	}
	var relays []*relay
	var owners []*owner
	for i, name := range []string{"a", "b", "c"} {
		o := h.rig.addOwner(name, h.faulty(uint64(i)), dispatcher.WithHeartbeat(50*time.Millisecond))
		owners, relays = append(owners, o), append(relays, h.rig.relayTo(o))
	}
	var group sync.WaitGroup
	for caller := range uint64(6) {
		group.Go(func() { h.call(t, caller, 30) })
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	for i := 0; ; i++ {
		select {
		case <-done:
			for _, relay := range relays {
				relay.resume()
			}
			time.Sleep(300 * time.Millisecond)
			is.True(len(h.entries) > 180)
			h.check(t)
			return
		case <-time.After(150 * time.Millisecond):
			relays[i%3].silence()
			owners[(i+1)%3].setState(fleet.BackendDraining)
			owners[i%3].setState(fleet.BackendReady)
		}
	}
}
