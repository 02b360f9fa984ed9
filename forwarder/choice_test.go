package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// get sends a lookup and returns the status and the body.
func (r *rig) get(t *testing.T, path string) (int, string) {
	t.Helper()
	response, err := http.Get(r.caller.URL + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

// useConfigurations sends the next requests to an ingress with another configuration.
func (r *rig) useConfigurations(configurations forwarder.ConfigurationSource) {
	r.forwarder = forwarder.New("ingress", configurations, byService{r}, r)
	r.caller = httptest.NewServer(r.forwarder)
	r.t.Cleanup(r.caller.Close)
}

// byService lists backend servers of their own service only.
type byService struct{ *rig }

func (b byService) Backends(service fleet.ServiceName) []fleet.Backend {
	var backends []fleet.Backend
	for _, backend := range b.rig.Backends(service) {
		if backend.Service == service {
			backends = append(backends, backend)
		}
	}
	return backends
}

// named returns a handler that answers with a name.
func named(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, name) })
}

// TestNoWaitAttemptFindsFreeSlot guards against waiting at the preferred backend server,
// whose slots are in use, although another has a free slot.
func TestNoWaitAttemptFindsFreeSlot(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithNoWaitAttempts(2))
	hold := make(chan struct{})
	defer close(hold)
	var running atomic.Int32
	r.addOwner("a", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running.Add(1)
		<-hold
	}))
	for i := range 4 {
		go func() {
			response, err := http.Get(fmt.Sprintf("%s/%d", r.caller.URL, i))
			if err == nil {
				response.Body.Close()
			}
		}()
	}
	for deadline := time.Now().Add(10 * time.Second); running.Load() < 4 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	r.addOwner("b", named("b"))
	status, body := r.get(t, "/5")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "b")
}

// TestErrorIsReplacedByABetterAnswer has the preferred backend server answer with an error.
func TestErrorIsReplacedByABetterAnswer(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithRetryOnError())
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "a fails", 500) }))
	status, body := r.get(t, "/1")
	is.Equal(status, 500) // no other backend server: its own answer is returned
	is.Equal(strings.TrimSpace(body), "a fails")
	r.addOwner("b", named("b"))
	status, body = r.get(t, "/1")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "b")
	response, err := http.Post(r.caller.URL+"/refund", "text/plain", nil)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, 500) // a request that must not run twice is not repeated
}

// TestFailingBackendServerIsSkipped guards against sending further requests to a backend
// server that failed the first one.
func TestFailingBackendServerIsSkipped(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithNoWaitAttempts(2))
	var ran atomic.Int32
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		http.Error(w, "a fails", 500)
	}), dispatcher.WithFailureEstimates())
	r.addOwner("b", named("b"))
	failed := 0
	for range 20 {
		response, err := http.Post(r.caller.URL+"/refund", "text/plain", nil)
		is.NoErr(err)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			failed++
		}
	}
	is.Equal(failed, 1)
	is.Equal(ran.Load(), int32(1))
}

// TestForcedAttemptWhenAllAreFailing has the only backend server fail: callers get its own
// answer.
func TestForcedAttemptWhenAllAreFailing(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithNoWaitAttempts(2))
	r.addOwner("a", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "a fails", 500) }),
		dispatcher.WithFailureEstimates())
	for range 5 {
		status, body := r.get(t, "/1")
		is.Equal(status, 500)
		is.Equal(strings.TrimSpace(body), "a fails")
	}
}

// TestCallerThatLeavesStopsTheBackendServer disconnects the caller while a request runs.
func TestCallerThatLeavesStopsTheBackendServer(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	running, stopped := make(chan struct{}), make(chan struct{})
	r.addOwner("a", http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		close(running)
		<-q.Context().Done()
		close(stopped)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.caller.URL+"/1", nil)
	is.NoErr(err)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
	}()
	<-running
	cancel()
	<-stopped
}

// split divides lookups among two services.
type split struct{ *rig }

func (split) Configuration() fleet.Configuration {
	return configuration.WithService(fleet.Service{Name: "intake"}).WithRoute(fleet.Route{
		Name: "read", Method: "GET", PathPrefix: "/", Idempotent: true, Kind: "read",
		Split: fleet.NewSplit(fleet.Share{Service: "ledger", Weight: 80}, fleet.Share{Service: "intake", Weight: 20}),
	})
}

// TestSplitFollowsItsWeights counts the requests that one service gets; the other has no
// backend server, and its requests are not moved.
func TestSplitFollowsItsWeights(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.addOwner("a", named("a"))
	r.useConfigurations(split{r})
	answered := 0
	const requests = 600
	for range requests {
		if status, _ := r.get(t, "/1"); status == http.StatusOK {
			answered++
		}
	}
	share := float64(answered) / requests
	is.True(share > 0.7 && share < 0.9)
}

// TestTimeLimitOfTheRouteBindsCallers requests more time than the route gives.
func TestTimeLimitOfTheRouteBindsCallers(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	var left atomic.Value
	r.addOwner("a", http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { left.Store(q.Header.Get(fleet.HeaderTimeout)) }))
	r.useConfigurations(bounded{r})
	request, err := http.NewRequest(http.MethodGet, r.caller.URL+"/1", nil)
	is.NoErr(err)
	request.Header.Set(fleet.HeaderTimeout, "60000")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	response.Body.Close()
	is.True(len(left.Load().(string)) <= len("2000"))
}

// bounded gives lookups two seconds at most.
type bounded struct{ *rig }

func (bounded) Configuration() fleet.Configuration {
	return configuration.WithRoute(fleet.Route{
		Name: "read", Service: "ledger", Method: "GET", PathPrefix: "/", Idempotent: true, Kind: "read", MaxTimeout: 2 * time.Second,
	})
}

// TestTwoOwnersWithoutTimeEndARequest has three owners whose backend servers are slower
// than the time that a request has.
func TestTwoOwnersWithoutTimeEndARequest(t *testing.T) {
	is := is.New(t)
	r := newRig(t, forwarder.WithRetrier(retrier.New(retrier.WithAttempts(8), retrier.WithBudget(1, 100))))
	for _, name := range []string{"a", "b", "c"} {
		r.addOwner(name, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(200 * time.Millisecond)
			_, _ = io.WriteString(w, name)
		}))
	}
	backends := r.backends
	for i := range backends { // each owner records its usual time
		r.backends = backends[i : i+1]
		status, _ := r.get(t, "/1")
		is.Equal(status, http.StatusOK)
	}
	r.backends = backends
	request, err := http.NewRequest(http.MethodGet, r.caller.URL+"/1", nil)
	is.NoErr(err)
	request.Header.Set(fleet.HeaderTimeout, "100")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.Header.Get(fleet.HeaderExecuted), "no")
	refusals := 0
	for _, event := range r.events {
		if event.Kind == fleet.EventRetry {
			refusals++
		}
	}
	is.Equal(refusals, 1) // one retry: two owners were tried
}
