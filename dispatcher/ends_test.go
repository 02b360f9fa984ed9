package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// wholeAnswer is the body of the answers below.
const wholeAnswer = "receipt 17"

// ends is an attempt that records the ends that its owner tells.
type ends struct {
	mu   sync.Mutex
	told []string
}

// all returns what was told in each informational response.
func (e *ends) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.told...)
}

// send sends an attempt to a node over a connection, and returns its answer.
func (e *ends) send(node, id, ticket string) (body string, header http.Header, err error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.told = append(e.told, header.Get(fleet.HeaderEnds))
		return nil
	}}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, node+dispatcher.PathPrefix+"/refund", strings.NewReader("x"))
	if err != nil {
		return "", nil, err
	}
	r.Header = request(id, "1", ticket, "true").Header
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return string(content), answer.Header, err
}

// usual is a request from which an owner learns how long requests take.
const usual = "usual"

// answering returns a backend server that answers once release is closed, and the usual request at once.
func answering(t *testing.T, release <-chan struct{}) *local {
	l := newLocal(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(fleet.HeaderRequestID) != usual {
			<-release
		}
		w.Header().Set(fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID))
		_, _ = io.WriteString(w, wholeAnswer)
	}))
	t.Cleanup(server.Close)
	l.backend.Address = strings.TrimPrefix(server.URL, "http://")
	return l
}

// TestIngressesAreToldWhenTheirOwnersNodeEnds guards against ingresses that hear of the end of an owner's
// node only when it hands back or closes, with no time left to find another owner.
func TestIngressesAreToldWhenTheirOwnersNodeEnds(t *testing.T) {
	const left = time.Minute
	for name, heartbeat := range map[string]time.Duration{"at once": time.Hour, "at each heartbeat": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			l := answering(t, release)
			answer := sync.OnceFunc(func() { close(release) })
			d := dispatcher.New("node", l, dispatcher.WithHeartbeat(heartbeat))
			defer d.Close()
			node := httptest.NewServer(d)
			defer node.Close()
			defer answer()
			ticket := send(d, "t", "1", "", "true").Header().Get(fleet.HeaderTicket)
			is.Equal(outcome(send(d, usual, "1", ticket, "true")), "yes ")
			var before, after ends
			var sends sync.WaitGroup
			sendOne := func(e *ends, id string) {
				sends.Go(func() {
					body, header, err := e.send(node.URL, id, ticket)
					if err != nil || body != wholeAnswer || header.Get(fleet.HeaderExecuted) != "yes" || header.Values(fleet.HeaderEnds) != nil {
						t.Error(id, body, header, err)
					}
				})
			}
			sendOne(&before, "before")
			waitFor(t, func() bool { return d.InFlight("backend") == 1 })
			d.Stop(time.Now().Add(left-time.Second), time.Now().Add(left))
			sendOne(&after, "after")
			told := func(e *ends) (count int) {
				for _, text := range e.all() {
					if text != "" {
						count++
					}
				}
				return count
			}
			beats := 1
			if heartbeat < time.Second {
				beats = 3
			}
			waitFor(t, func() bool { return told(&before) >= beats && told(&after) >= beats })
			answer()
			sends.Wait()
			for _, e := range []*ends{&before, &after} {
				last := left.Milliseconds()
				for _, text := range e.all() {
					if text == "" {
						continue
					}
					ms, err := strconv.ParseInt(text, 10, 64)
					is.NoErr(err)
					is.True(ms <= last)
					is.True(ms > last-10_000)
					last = ms
				}
				if beats > 1 {
					is.True(last < left.Milliseconds()) // each response tells what is left by then
				}
			}
		})
	}
}

// TestEndIsNeverToldInTheAnswer guards against an answer that carries the header of informational
// responses, or is mixed with one: attempts end while their node is told to stop.
func TestEndIsNeverToldInTheAnswer(t *testing.T) {
	release := make(chan struct{})
	close(release)
	for i := range 20 {
		l := answering(t, release)
		d := dispatcher.New("node", l, dispatcher.WithHeartbeat(time.Millisecond))
		node := httptest.NewServer(d)
		ticket := send(d, "t", "1", "", "true").Header().Get(fleet.HeaderTicket)
		send(d, usual, "1", ticket, "true")
		var sends sync.WaitGroup
		for k := range 8 {
			sends.Go(func() {
				body, header, err := new(ends).send(node.URL, fmt.Sprint("r", k), ticket)
				if err != nil || body != wholeAnswer || header.Values(fleet.HeaderEnds) != nil {
					t.Error(body, header, err)
				}
			})
		}
		time.Sleep(time.Duration(i) * 100 * time.Microsecond)
		d.Stop(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
		sends.Wait()
		node.Close()
		d.Close()
	}
}

// TestRefusalOfAStoppingNodeTellsItsEnd guards against an ingress that cannot tell a full owner from one whose node stops.
func TestRefusalOfAStoppingNodeTellsItsEnd(t *testing.T) {
	is := is.New(t)
	d := dispatcher.New("node", answering(t, make(chan struct{})))
	defer d.Close()
	refusal := send(d, "t", "1", "", "true")
	is.Equal(refusal.Header().Get(fleet.HeaderEnds), "")
	d.Stop(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
	left, err := strconv.Atoi(send(d, "t", "1", "", "true").Header().Get(fleet.HeaderEnds))
	is.NoErr(err)
	is.True(left > 0 && left <= 60_000)
}
