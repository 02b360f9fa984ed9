package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/pooler"
)

// ledger counts the runs at backend servers by request identifier.
type ledger struct {
	mu  sync.Mutex
	ran map[string]int
}

func newLedger() *ledger { return &ledger{ran: make(map[string]int)} }

func (l *ledger) record(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[r.Header.Get(fleet.HeaderRequestID)]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[id]
}

// total returns the number of runs.
func (l *ledger) total() (runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, count := range l.ran {
		runs += count
	}
	return runs
}

func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.record(r)
	echo(w, r)
}

// recordAndBreak records the request and breaks its connection without an answer.
func (l *ledger) recordAndBreak(_ http.ResponseWriter, r *http.Request) {
	l.record(r)
	panic(http.ErrAbortHandler)
}

// relayTo puts a relay between the ingress and an owner.
func (r *rig) relayTo(o *owner) *relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	member := r.members[o.backend.Owner]
	relay := newRelay(r.t, member.PeerAddress)
	member.PeerAddress = relay.listener.Addr().String()
	r.members[o.backend.Owner] = member
	return relay
}

// together lets the first n requests finish only when all have arrived, so that each
// uses a connection of its own.
func together(n int32, next http.Handler) http.Handler {
	all := make(chan struct{})
	var arrived atomic.Int32
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrived.Add(1) == n {
			close(all)
		}
		<-all
		next.ServeHTTP(w, r)
	})
}

// warm sends n requests concurrently.
func warm(t *testing.T, r *rig, n int) {
	var group sync.WaitGroup
	for range n {
		group.Go(func() { sendRequest(t, r, "GET", "/", "") })
	}
	group.Wait()
}

// silences counts the connections found silent; the rig is locked.
func (r *rig) silences() int {
	n := 0
	for _, event := range r.events {
		if event.Kind == fleet.EventStalled {
			n++
		}
	}
	return n
}

func oneSecondProgress() forwarder.Option {
	return forwarder.WithPooler(pooler.New(pooler.WithProgress(time.Second)))
}

func TestLostAnswerIsUnknownAndNotRunAgain(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	r.addOwner("a", http.HandlerFunc(l.recordAndBreak))
	r.addOwner("b", l)
	response, _ := sendRequest(t, r, "POST", "/refund", "x", fleet.HeaderRequestID, "refund")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
	is.Equal(response.Header.Get(fleet.HeaderReason), "broken")
	is.Equal(l.count("refund"), 1)

	response, _ = sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "read")
	is.Equal(response.StatusCode, 200)
	is.Equal(l.count("read"), 2)
}

// TestHTTPClientNeverSendsAgain uses connections that were used before: net/http resends
// such requests by itself unless it is prevented.
func TestHTTPClientNeverSendsAgain(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	var breaks atomic.Bool
	r := newRig(t)
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if breaks.Load() {
			l.recordAndBreak(w, q)
		}
		l.ServeHTTP(w, q)
	}))
	sendRequest(t, r, "POST", "/refund", "")
	breaks.Store(true)
	for _, method := range []string{"GET", "POST"} {
		response, _ := sendRequest(t, r, method, "/refund", "", fleet.HeaderRequestID, method,
			fleet.HeaderIdempotent, "false", fleet.HeaderIdempotencyKey, keyOf(t, r))
		is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
		is.Equal(l.count(method), 1)
	}
}

func keyOf(t testing.TB, r *rig) string {
	_, content := sendRequest(t, r, "POST", forwarder.KeyPath, "")
	key, found := strings.CutPrefix(strings.TrimSpace(content), `{"key":"`)
	if !found {
		t.Fatalf("no key in %q", content)
	}
	return strings.TrimSuffix(key, `"}`)
}

func TestKeyRunsOnceAndIsReleasedWhenNotRun(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	key := keyOf(t, r)
	response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderIdempotencyKey, key)
	is.Equal(response.Header.Get(fleet.HeaderReason), "nobackend")
	r.addOwner("a", l)
	response, _ = sendRequest(t, r, "POST", "/refund", "", fleet.HeaderIdempotencyKey, key, fleet.HeaderRequestID, "first")
	is.Equal(response.StatusCode, 200)
	response, _ = sendRequest(t, r, "POST", "/refund", "", fleet.HeaderIdempotencyKey, key, fleet.HeaderRequestID, "second")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
	is.Equal(response.Header.Get(fleet.HeaderReason), "duplicate")
	is.Equal(l.count("first")+l.count("second"), 1)
}

// TestSilentConnectionCostsOneProgressTimeout silences the pooled connections
// permanently: the refund is sealed and sent again over a fresh one, and the failure is
// not attributed to the owner or backend server.
func TestSilentConnectionCostsOneProgressTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLedger()
	r := newRig(t, oneSecondProgress())
	relay := r.relayTo(r.addOwner("a", together(4, l)))
	warm(t, r, 4)
	relay.silence()
	response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "refund")
	is.Equal(response.StatusCode, 200)
	response, _ = sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "next")
	is.Equal(response.StatusCode, 200)
	relay.resume()
	time.Sleep(100 * time.Millisecond)
	is.Equal(l.count("refund"), 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sample := range r.samples {
		is.Equal(sample.Class, fleet.ClassOK)
	}
	is.Equal(r.silences(), 1)
}

// TestSlowRequestIsNotSilent runs longer than several progress timeouts.
func TestSlowRequestIsNotSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig(t, oneSecondProgress())
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(2500 * time.Millisecond)
		echo(w, q)
	}), dispatcher.WithHeartbeat(50*time.Millisecond))
	response, _ := sendRequest(t, r, "POST", "/refund", "")
	is.Equal(response.StatusCode, 200)
}

func TestDeadlineIsReportedWithinTheSlack(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	r := newRig(t)
	r.addOwner("a", http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		select {
		case <-release:
		case <-q.Context().Done():
		}
	}))
	response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderTimeout, "150")
	close(release)
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
	is.Equal(response.Header.Get(fleet.HeaderReason), "deadline")
}

// TestCutAnswerBreaksTheConnection streams an answer of unknown length that its
// backend server cuts after the header was sent to the caller.
func TestCutAnswerBreaksTheConnection(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithMaxAnswerSize(1000))
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 50_000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}), dispatcher.WithMaxAnswerSize(1000))
	response, err := http.Get(r.caller.URL + "/")
	is.NoErr(err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}

func TestCutSmallAnswerIsAClearError(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(make([]byte, 50))
		panic(http.ErrAbortHandler)
	}))
	response, _ := sendRequest(t, r, "POST", "/refund", "")
	is.Equal(response.StatusCode, 502)
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
}

func TestLargeBodiesAreRefusedWithTheBound(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t, forwarder.WithMaxBodySize(1000))
	r.addOwner("a", l)
	response, content := sendRequest(t, r, "POST", "/refund", strings.Repeat("x", 1001))
	is.Equal(response.StatusCode, 413)
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "no")
	is.True(strings.Contains(content, "bound of 1000 bytes"))
	response, _ = sendRequest(t, r, "POST", "/refund", strings.Repeat("x", 1000))
	is.Equal(response.StatusCode, 200)
}

// TestShutdownCutsNothing shuts the owner and the ingress down while a request runs.
func TestShutdownCutsNothing(t *testing.T) {
	is := is.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	r := newRig(t)
	o := r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		close(running)
		<-release
		echo(w, q)
	}))
	answered := make(chan int)
	go func() {
		response, _ := sendRequest(t, r, "POST", "/refund", "")
		answered <- response.StatusCode
	}()
	<-running
	o.dispatcher.Drain()
	response, _ := sendRequest(t, r, "POST", "/refund", "")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "no")
	is.Equal(response.Header.Get(fleet.HeaderReason), "draining")
	r.forwarder.Drain()
	response, _ = sendRequest(t, r, "POST", "/refund", "")
	is.Equal(response.Header.Get(fleet.HeaderReason), "draining")
	is.Equal(r.forwarder.InFlight(), 1)
	close(release)
	is.Equal(<-answered, 200)
	is.NoErr(o.dispatcher.Shutdown(context.Background()))
	is.NoErr(r.forwarder.Shutdown(context.Background()))
}

// TestSilentBackendConnectionIsNotAttributed silences the pooled connections between an
// owner and its backend server: the read is answered by another backend server, and the
// next one by the first again.
func TestSilentBackendConnectionIsNotAttributed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, other := newLedger(), newLedger()
	r := newRig(t)
	backend := http.NewServeMux()
	backend.Handle("/warm", together(3, l))
	backend.Handle("/", l)
	o := r.addOwner("a", backend, dispatcher.WithPooler(pooler.New(pooler.WithProgress(time.Second))),
		dispatcher.WithObserver(r), dispatcher.WithRecorder(r))
	r.addOwner("b", other)
	relay := newRelay(t, o.backend.Address)
	o.mu.Lock()
	o.backend.Address = relay.listener.Addr().String()
	o.mu.Unlock()
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { sendRequest(t, r, "GET", "/warm", "", fleet.HeaderKind, "warm") })
	}
	group.Wait()
	// Records the usual time of the kind. A cut is found only if the witness has answered before.
	for i, end := 0, time.Now().Add(20*time.Second); i < 20 || relay.witnesses.Load() == 0; i++ {
		is.True(time.Now().Before(end))
		sendRequest(t, r, "GET", "/", "")
	}
	relay.silence()
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "read")
	is.Equal(response.StatusCode, 200)
	is.Equal(other.count("read"), 1)
	response, _ = sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "next")
	is.Equal(response.StatusCode, 200)
	is.Equal(l.count("next"), 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sample := range r.samples {
		is.True(sample.Class == fleet.ClassOK || sample.Class == fleet.ClassCancelled)
	}
	is.Equal(r.silences(), 1)
}

// TestOneUnknownAttemptMakesTheOutcomeUnknown runs a read whose answer is lost and whose
// second attempt is refused with proof: the proof is not for the first.
func TestOneUnknownAttemptMakesTheOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	r.addOwner("a", http.HandlerFunc(l.recordAndBreak))
	r.addOwner("b", l).setState(fleet.BackendDraining)
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "read")
	is.Equal(response.Header.Get(fleet.HeaderReason), "draining")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
	is.Equal(l.count("read"), 1)
}

// TestUnreachableOwnerProvesNothing stops the owner while it runs a refund.
func TestUnreachableOwnerProvesNothing(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	var o *owner
	dead := make(chan struct{})
	o = r.addOwner("a", http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		l.record(q)
		_ = o.peer.Listener.Close()
		o.peer.CloseClientConnections()
		close(dead)
	}))
	r.addOwner("b", l)
	response, _ := sendRequest(t, r, "POST", "/refund", "", fleet.HeaderRequestID, "refund")
	<-dead
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
	is.Equal(l.count("refund"), 1)
}

// TestGivesUpAfterTwoLostOwners sends a read that crashes every node that runs it.
func TestGivesUpAfterTwoLostOwners(t *testing.T) {
	is := is.New(t)
	l := newLedger()
	r := newRig(t)
	for _, name := range []string{"a", "b", "c"} {
		var o *owner
		o = r.addOwner(name, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			l.record(q)
			_ = o.peer.Listener.Close()
			o.peer.CloseClientConnections()
		}))
	}
	response, _ := sendRequest(t, r, "GET", "/", "", fleet.HeaderRequestID, "read")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "unknown")
	is.Equal(response.Header.Get(fleet.HeaderReason), "lost")
	is.Equal(l.count("read"), 2)
}
