package dispatcher_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestEventsTellBrokenAnswersApart guards against logs in which an answer to another request, one
// without a head and one that ends early look the same.
func TestEventsTellBrokenAnswersApart(t *testing.T) {
	for answer, message := range map[string]string{
		head("200 OK", "other", "Content-Length: 0"):                `the backend server answered request "other"`,
		head("200 OK", "request", "Content-Length: 50") + "begins":  "unexpected EOF",
		"HTTP/1.1 " + strings.Repeat("x", 10_000) + "\r\n\r\n":      "malformed HTTP",
		head("200 OK", "request", "Transfer-Encoding: gzip") + "xx": "unsupported transfer encoding",
	} {
		t.Run(message, func(t *testing.T) {
			is := is.New(t)
			l, recorded := newLocal(t), &events{}
			l.backend.Address = listen(t, func(c net.Conn) {
				defer c.Close()
				if _, err := readRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, answer)
				}
			})
			d := dispatcher.New("node", l, dispatcher.WithRequiredEcho(), dispatcher.WithRecorder(recorded))
			ticket := send(d, "request", "1", "", "false").Header().Get(fleet.HeaderTicket)
			is.Equal(outcome(send(d, "request", "1", ticket, "false")), "unknown broken")
			is.Equal(len(recorded.all), 1)
			detail := recorded.all[0].Detail
			is.True(strings.HasPrefix(detail, "at backend: "))
			is.True(strings.Contains(detail, message))
			is.True(len(detail) < 200)
		})
	}
}
