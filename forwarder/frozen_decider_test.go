package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/pooler"
	"cowsliptally.example/cowsliptally/quarantiner"
	"cowsliptally.example/cowsliptally/retrier"
)

// untimedPooler returns a pooler that gives up no connection for a delay of the machine.
func untimedPooler(options ...pooler.Option) *pooler.Pooler {
	return pooler.New(append(options, pooler.WithDialTimeout(0))...)
}

// frozenPeer accepts calls and never answers them. It adds up for how long it is waited for: a call states that itself,
// and an offer is waited for by the clock, which the frozen peer advances.
type frozenPeer struct {
	ctx   context.Context
	clock *clockwork.FakeClock
	// held gets what holds up its caller until its deadline.
	held chan string

	mu     sync.Mutex
	calls  []string
	waited time.Duration
}

func (p *frozenPeer) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.calls = append(p.calls, r.URL.Path)
	p.mu.Unlock()
	switch {
	case strings.HasPrefix(r.URL.Path, dispatcher.PathPrefix+"/"):
		p.held <- "the trial run was sent to the frozen node without an offer"
	case r.URL.Path == dispatcher.OfferPath:
		// The first check sees that the offer was written, and the second one that nothing followed.
		p.advance()
		p.advance()
	default:
		stated, err := strconv.Atoi(r.Header.Get("Connect-Timeout-Ms"))
		if err != nil {
			p.held <- "only the deadline of its caller bounds a call of " + r.URL.Path
		}
		p.wait(time.Duration(stated) * time.Millisecond)
	}
	select {
	case <-r.Context().Done():
	case <-p.ctx.Done(): // the test has ended
	}
}

// advance advances the clock by one progress timeout, which the ingress waits for.
func (p *frozenPeer) advance() {
	if err := p.clock.BlockUntilContext(p.ctx, 1); err != nil {
		return // the test has ended
	}
	p.clock.Advance(forwarder.DefaultProgress)
	p.wait(forwarder.DefaultProgress)
}

func (p *frozenPeer) wait(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waited += d
}

// state returns the calls and for how long they were waited for.
func (p *frozenPeer) state() (calls string, waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.calls, " "), p.waited
}

// nameBeside returns the name of a node that decides about an identity before another one, or after it.
func nameBeside(name string, other fleet.NodeID, identity string, before bool) string {
	for i := 0; ; i++ {
		node := fleet.NodeID(fmt.Sprint(name, "-", i))
		order := quarantiner.Deciders(identity, []fleet.Member{{ID: node, State: fleet.MemberAlive}, {ID: other, State: fleet.MemberAlive}})
		if (order[0].ID == node) == before {
			return string(node)
		}
	}
}

// identityOf returns the identity of a query, which the nodes tell each other with it.
func identityOf(t *testing.T, path string) (identity string) {
	t.Helper()
	r := newRig(t, forwarder.WithPooler(untimedPooler()))
	o := r.addOwner("any", http.HandlerFunc(echo), dispatcher.WithPooler(untimedPooler()))
	r.servePeer(o, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		identity = q.Header.Get(fleet.HeaderIdentity)
		o.dispatcher.ServeHTTP(w, q)
	}))
	response, _ := sendRequest(t, r, "GET", path, "")
	is.New(t).Equal(response.StatusCode, http.StatusOK)
	return identity
}

// suspectRig is an ingress at which a query is suspect, a frozen node that decides first about its trial run and owns
// the backend server that is selected first, and a sound owner, which decides last.
type suspectRig struct {
	*rig
	clock    *clockwork.FakeClock
	frozen   *frozenPeer
	identity string
	suspects *quarantiner.Quarantiner
	// running and atOnce are the runs at work and the most of them; began and release are used by each of them.
	running, atOnce atomic.Int32
	began, release  chan struct{}
}

func newSuspectRig(t *testing.T, path string) *suspectRig {
	identity := identityOf(t, path)
	clock := clockwork.NewFakeClockAt(time.Now()) // contexts with a deadline use the machine's clock
	suspects := quarantiner.New(clock)
	s := &suspectRig{
		clock: clock, identity: identity, suspects: suspects, frozen: &frozenPeer{ctx: t.Context(), clock: clock, held: make(chan string, 16)},
		began: make(chan struct{}, 2), release: make(chan struct{}),
	}
	s.rig = newRig(t, forwarder.WithClock(clock), forwarder.WithQuarantiner(suspects), forwarder.WithRetrier(retrier.New(retrier.WithBase(0))),
		forwarder.WithPooler(untimedPooler(pooler.WithClock(clock), pooler.WithProgress(forwarder.DefaultProgress))))
	o := s.addOwner(nameBeside("frozen", "ingress", identity, true), http.HandlerFunc(s.run))
	s.servePeer(o, s.frozen)
	s.addOwner(nameBeside("sound", "ingress", identity, false), http.HandlerFunc(s.run), dispatcher.WithPooler(untimedPooler()))
	suspects.RecordCrash("lost", []string{identity}, nil)
	return s
}

func (s *suspectRig) run(w http.ResponseWriter, r *http.Request) {
	s.atOnce.Store(max(s.atOnce.Load(), s.running.Add(1)))
	s.began <- struct{}{}
	<-s.release
	s.running.Add(-1)
	echo(w, r)
}

// sendLong sends a query whose deadline is far, and returns a channel that gets the status of its answer.
func (s *suspectRig) sendLong(path string) <-chan int {
	statuses := make(chan int, 1)
	request, err := http.NewRequest("GET", s.caller.URL+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set(fleet.HeaderTimeout, strconv.Itoa(int(forwarder.MaxTimeout/time.Millisecond)))
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			s.t.Error(err)
			statuses <- 0
			return
		}
		defer response.Body.Close()
		statuses <- response.StatusCode
	}()
	return statuses
}

// TestFrozenDeciderCostsNoSuspectQueryMoreThanItsTimeouts guards against suspect queries that wait until their deadline
// for a trial run at a frozen node, or for its permission, and against a second trial run beside the first. It counts
// the time that the node states or its clock shows, so that no delay of the machine decides.
func TestFrozenDeciderCostsNoSuspectQueryMoreThanItsTimeouts(t *testing.T) {
	const queries, servedWithin = 8, 2 * time.Second
	for i := range queries {
		path := fmt.Sprint("/look/hot-", i)
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s := newSuspectRig(t, path)
			release := sync.OnceFunc(func() { close(s.release) })
			defer release()
			first := s.sendLong(path)
			select {
			case <-s.began:
			case what := <-s.frozen.held:
				t.Fatal(what)
			case status := <-first:
				t.Fatalf("status %d without a run", status)
			}
			calls, waited := s.frozen.state()
			t.Logf("waited for the frozen node for %s: %s", waited, calls)
			is.True(strings.Contains(calls, dispatcher.OfferPath))
			is.True(waited <= servedWithin)

			second := s.sendLong(path)
			// The reachability of the frozen node, the progress of the trial run, and the query that waits for its end.
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			is.NoErr(s.clock.BlockUntilContext(ctx, 3))
			release()
			is.Equal(<-first, http.StatusOK)
			s.suspects.Clear(s.identity) // as the owners of this rig know of no crash, they tell of none that is cleared
			s.clock.Advance(20 * time.Millisecond)
			is.Equal(<-second, http.StatusOK)
			is.Equal(s.atOnce.Load(), int32(1))
		})
	}
}
