package dispatcher_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/expirer"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/pooler"
)

// dropIdle resets each connection of a server whose second request comes after an idle time.
func dropIdle(server *httptest.Server, idle time.Duration) {
	var mu sync.Mutex
	since := make(map[net.Conn]time.Time)
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		at, found := since[c]
		switch {
		case state == http.StateIdle:
			since[c] = time.Now()
		case state == http.StateActive && found && time.Since(at) > idle:
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// TestRequestOnADroppedConnectionIsSentAgain guards against a request that may run twice and is lost, once the
// retry budget is spent, since its backend server had dropped the idle connection.
func TestRequestOnADroppedConnectionIsSentAgain(t *testing.T) {
	for idempotent, expected := range map[string]string{"true": "yes ", "false": "unknown broken"} {
		t.Run("idempotent "+idempotent, func(t *testing.T) {
			is := is.New(t)
			l := &local{}
			server := httptest.NewUnstartedServer(l)
			dropIdle(server, 150*time.Millisecond)
			server.Start()
			defer server.Close()
			l.backend = fleet.Backend{
				ID: "backend", Service: "ledger", Slots: 4, State: fleet.BackendReady, Address: strings.TrimPrefix(server.URL, "http://"),
			}
			connections := pooler.New(pooler.WithExpirer(expirer.New(expirer.WithMaxReset(time.Second))))
			d := dispatcher.New("node", l, dispatcher.WithPooler(connections))
			defer d.Close()
			ticket := send(d, "t", "1", "", "true").Header().Get(fleet.HeaderTicket)
			is.Equal(outcome(send(d, "first", "1", ticket, "true")), "yes ")
			time.Sleep(300 * time.Millisecond)
			is.Equal(outcome(send(d, "second", "1", ticket, idempotent)), expected)
		})
	}
}
