package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
)

const shortTime = 100 * time.Microsecond

// post sends one request and returns the response and its answer, or nil if the
// answer is incomplete or not JSON.
func post(t *testing.T, url, id, body string) (*http.Response, *Answer) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/work", strings.NewReader(body))
	is.New(t).NoErr(err)
	request.Header.Set(fleet.HeaderRequestID, id)
	request.Header.Set(fleet.HeaderIdempotent, "false")
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	answer := &Answer{}
	if err != nil || json.Unmarshal(data, answer) != nil {
		return response, nil
	}
	return response, answer
}

func start(t *testing.T, options ...Option) (*Server, string) {
	t.Helper()
	backend := New("b1", "ledger", append([]Option{WithWork(shortTime, 0)}, options...)...)
	listener := httptest.NewServer(backend.Handler())
	t.Cleanup(listener.Close)
	return backend, listener.URL
}

func TestRunIsRecordedInLedgerAndAnswered(t *testing.T) {
	is := is.New(t)
	var sink bytes.Buffer
	backend, url := start(t, WithLedgerSink(&sink))
	_, answer := post(t, url, "r1", "body")
	is.Equal(answer.Request, "r1")
	is.Equal(answer.Sum, Sum("r1", []byte("body")))
	entries := backend.Ledger().Entries()
	is.Equal(entries, []Entry{{Request: "r1", Backend: "b1", Starts: 1, Finishes: 1}})
	sink.WriteString(`{"request":"r2","sta`) // a line cut off by a kill
	read, err := ReadLedger(&sink)
	is.NoErr(err)
	is.Equal(read, entries)
}

func TestFaultsAffectAnswers(t *testing.T) {
	is := is.New(t)
	backend, url := start(t)
	post(t, url, "r1", "")
	backend.SetFaults(Faults{Wrong: 1})
	response, answer := post(t, url, "r2", "")
	is.Equal(answer.Request, "r1")
	is.Equal(response.Header.Get(fleet.HeaderRequestID), "r1")
	backend.SetFaults(Faults{Cut: 1})
	_, answer = post(t, url, "r3", "")
	is.Equal(answer, nil)
	backend.SetFaults(Faults{Errors: 1})
	response, _ = post(t, url, "r4", "")
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	backend.SetFaults(Faults{Forge: 1})
	_, answer = post(t, url, "r5", "")
	is.True(answer.Sum != Sum("r5", nil))
}

func TestLieFaultKeepsHealthEndpointGood(t *testing.T) {
	is := is.New(t)
	backend, url := start(t)
	status := func() int {
		response, err := http.Get(url + "/health")
		is.NoErr(err)
		response.Body.Close()
		return response.StatusCode
	}
	is.Equal(status(), http.StatusOK)
	backend.SetFaults(Faults{Stuck: true})
	is.Equal(status(), http.StatusServiceUnavailable)
	backend.SetFaults(Faults{Stuck: true, Lie: true})
	is.Equal(status(), http.StatusOK)
}

func TestFullSlotsRejectWithoutRunning(t *testing.T) {
	is := is.New(t)
	backend, url := start(t, WithSlots(1))
	backend.SetFaults(Faults{Stuck: true})
	ctx, cancel := context.WithCancel(context.Background())
	held := make(chan struct{})
	go func() {
		defer close(held)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, url+"/work", nil)
		request.Header.Set(fleet.HeaderRequestID, "held")
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
		}
	}()
	for len(backend.Ledger().Entries()) == 0 {
		time.Sleep(shortTime)
	}
	response, _ := post(t, url, "shed", "")
	is.Equal(response.Header.Get(fleet.HeaderExecuted), string(fleet.ExecutedNo))
	is.Equal(len(backend.Ledger().Entries()), 1)
	cancel()
	<-held
	for backend.running.Load() > 0 { // the cancellation frees the slot
		time.Sleep(shortTime)
	}
}

func TestDeadlineEndsStuckRun(t *testing.T) {
	is := is.New(t)
	backend, url := start(t)
	backend.SetFaults(Faults{Stuck: true})
	request, err := http.NewRequest(http.MethodGet, url+"/work", nil)
	is.NoErr(err)
	request.Header.Set(fleet.HeaderRequestID, "r1")
	request.Header.Set(fleet.HeaderTimeout, "5")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.Equal(backend.Ledger().Entries()[0].Finishes, 0)
}

func TestCrashRequestEndsProcessAfterLedgerEntry(t *testing.T) {
	is := is.New(t)
	crashed := make(chan int, 1)
	backend, url := start(t, WithExit(func(code int) { crashed <- code }))
	backend.SetFaults(Faults{Crash: "poison"})
	post(t, url, "r1", "good")
	is.Equal(len(crashed), 0)
	post(t, url, "r2", "a poison body")
	is.Equal(<-crashed, 2)
	is.Equal(len(backend.Ledger().Entries()), 2)
}

func TestSilentFaultAffectsOnlyOpenConnections(t *testing.T) {
	is := is.New(t)
	backend := New("b1", "ledger", WithWork(shortTime, 0))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- backend.Serve(ctx, listener) }()
	old, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	answers := bufio.NewReader(old)
	sendRaw := func(id string) {
		_, err := fmt.Fprintf(old, "GET /work HTTP/1.1\r\nHost: b\r\n%s: %s\r\n\r\n", fleet.HeaderRequestID, id)
		is.NoErr(err)
	}
	sendRaw("before")
	response, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	backend.SetFaults(Faults{Silent: true})
	sendRaw("lost")
	_, answer := post(t, "http://"+listener.Addr().String(), "after", "")
	is.Equal(answer.Request, "after")
	is.NoErr(old.Close())
	http.DefaultClient.CloseIdleConnections()
	cancel()
	is.NoErr(<-ended)
	is.Equal(len(backend.Ledger().Entries()), 2) // the request on the silent connection did not run
}

func TestFlapAppliesFaultsInSecondHalfOnly(t *testing.T) {
	is := is.New(t)
	faults := Faults{Slow: 5, Flap: 100}
	is.Equal(faults.active(20*time.Millisecond).Slow, 0.0)
	is.Equal(faults.active(70*time.Millisecond).Slow, 5.0)
	is.Equal(faults.active(120*time.Millisecond).Slow, 0.0)
}
