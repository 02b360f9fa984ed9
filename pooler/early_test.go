package pooler_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/pooler"
)

const (
	// uploadSize is more than the buffers of both ends hold, in bytes.
	uploadSize = 12 << 20
	// earlySends is how often each case is sent, as its outcome depends on what is noticed first.
	earlySends = 20
)

// earlyServer answers a request after it has read some of its body, or all of it.
type earlyServer struct {
	answer string
	// readsAll is set if it reads the body before it answers.
	readsAll bool
	// end ends the connection once the answer was written.
	end func(c *net.TCPConn, rest io.Reader)
}

func reset(c *net.TCPConn, _ io.Reader) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// finish ends the answers and leaves the rest of the request unread.
func finish(c *net.TCPConn, _ io.Reader) { _ = c.CloseWrite() }

// resetLater resets the connection once the answer is being read.
func resetLater(c *net.TCPConn, rest io.Reader) {
	time.Sleep(10 * time.Millisecond)
	reset(c, rest)
}

func readRest(c *net.TCPConn, rest io.Reader) {
	_, _ = io.Copy(io.Discard, rest)
	_ = c.Close()
}

// listen serves connections and returns the address.
func (s earlyServer) listen(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (s earlyServer) serve(c *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	read := int64(1 << 10)
	if s.readsAll {
		read = uploadSize
	}
	_, _ = io.CopyN(io.Discard, request.Body, read)
	_, _ = io.WriteString(c, s.answer)
	s.end(c, request.Body)
}

// upload sends a large request and returns the answer's body.
func upload(p *pooler.Pooler, address string, content []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", nil)
	if err != nil {
		return "", err
	}
	exchange, err := p.Send(ctx, pooler.Message{Address: address, ID: "r", Request: request, Content: content})
	if err != nil {
		exchange.Close()
		return "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange.Response.Body)
	return string(body), err
}

// TestCutEarlyAnswerIsNotComplete guards against the part of an answer without a length that
// is taken for all of it, as the upload took the notice that the connection was reset.
func TestCutEarlyAnswerIsNotComplete(t *testing.T) {
	const part = "a part of the answer"
	const refusal = "HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n"
	unknown := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", refusal, len(part), part)
	chunks := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", refusal, len(part), part)
	content := []byte(strings.Repeat("x", uploadSize))
	for name, tc := range map[string]struct {
		server   earlyServer
		complete bool
	}{
		"reset at once":           {earlyServer{unknown, false, reset}, false},
		"reset during the upload": {earlyServer{unknown, false, resetLater}, false},
		"end during the upload":   {earlyServer{unknown, false, finish}, false},
		"reset after the upload":  {earlyServer{unknown, true, resetLater}, false},
		"end after the upload":    {earlyServer{unknown, true, finish}, true},
		"length":                  {earlyServer{length, false, readRest}, true},
		"length, upload not read": {earlyServer{length, false, finish}, true},
		"length, cut":             {earlyServer{length[:len(length)-1], false, resetLater}, false},
		"chunks":                  {earlyServer{chunks, false, readRest}, true},
		"chunks, upload not read": {earlyServer{chunks, false, finish}, true},
		"chunks, cut":             {earlyServer{chunks[:len(chunks)-5], false, resetLater}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := tc.server.listen(t)
			p := pooler.New()
			complete := 0
			for range earlySends {
				if body, err := upload(p, address, content); err == nil {
					complete++
					is.New(t).Equal(body, part)
				}
			}
			want := 0
			if tc.complete {
				want = earlySends
			}
			if complete != want {
				t.Errorf("%d of %d answers were taken for complete, want %d", complete, earlySends, want)
			}
		})
	}
}
