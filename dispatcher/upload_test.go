package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestSilentUploadEndsAtItsDeadline guards against an attempt whose connection falls silent in its body, and which then keeps
// its node from ending.
func TestSilentUploadEndsAtItsDeadline(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for name, state := range map[string]fleet.BackendState{"accepted": fleet.BackendReady, "refused": fleet.BackendGone} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLocal(t)
			d := dispatcher.New("node", l)
			ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
			l.setState(state)
			ran := l.runs()
			node := httptest.NewServer(d)
			defer node.Close()
			connection, err := net.Dial("tcp", node.Listener.Addr().String())
			is.NoErr(err)
			defer connection.Close()
			is.NoErr(connection.SetDeadline(time.Now().Add(20 * timeout)))
			head := request("silent", "1", ticket, "false", fleet.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
			var text strings.Builder
			fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: 100\r\n", head.URL.Path)
			is.NoErr(head.Header.Write(&text))
			_, err = io.WriteString(connection, text.String()+"\r\npart")
			is.NoErr(err)

			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.Header.Get(fleet.HeaderExecuted), string(fleet.ExecutedNo))
			if state == fleet.BackendReady {
				is.Equal(response.Header.Get(fleet.HeaderReason), string(fleet.ReasonDeadline))
			}
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			is.NoErr(d.Shutdown(ctx))
			is.Equal(l.runs(), ran)
		})
	}
}
