package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// repeatingBackend refuses the first request on each connection, and repeats that refusal before it
// answers the next one, which it runs.
type repeatingBackend struct {
	refusal func(id string) string
	mu      sync.Mutex
	// ran counts the runs by request.
	ran map[string]int
}

func (b *repeatingBackend) serve(c net.Conn) {
	defer c.Close()
	requests := bufio.NewReader(c)
	refused := ""
	for {
		r, err := readRequest(requests)
		if err != nil {
			return
		}
		id := r.Header.Get(fleet.HeaderRequestID)
		if refused == "" {
			refused = b.refusal(id)
			_, _ = io.WriteString(c, refused)
			continue
		}
		b.mu.Lock()
		b.ran[id]++
		b.mu.Unlock()
		_, _ = io.WriteString(c, refused+head("200 OK", id, "Content-Length: 3")+"run")
	}
}

// TestRepeatedRefusalProvesNothing sends a request again to a backend server that refused it, over
// connections that are kept. The refusal that comes once more is not that of the second attempt,
// which runs.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	for _, idempotent := range []string{"true", "false"} {
		for _, body := range []string{"", "full"} {
			t.Run(fmt.Sprintf("idempotent=%s/body=%s", idempotent, body), func(t *testing.T) {
				is := is.New(t)
				b := &repeatingBackend{ran: make(map[string]int), refusal: func(id string) string {
					return head("503 Service Unavailable", id, fmt.Sprint("Content-Length: ", len(body)), fleet.HeaderExecuted+": no") + body
				}}
				l := newLocal(t)
				l.backend.Address = listen(t, b.serve)
				d := dispatcher.New("node", l, dispatcher.WithRequiredEcho())
				ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
				is.Equal(outcome(send(d, "r", "1", ticket, idempotent)), "no busy")
				second := outcome(send(d, "r", "2", ticket, idempotent))
				b.mu.Lock()
				defer b.mu.Unlock()
				is.True(second != "no busy" || b.ran["r"] == 0)
			})
		}
	}
}
