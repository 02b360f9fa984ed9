package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// startEcho starts a server that echoes each line. It returns the server's
// address and the lines received.
func startEcho(t *testing.T) (string, <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					received <- lines.Text()
					send(conn, lines.Text())
				}
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String(), received
}

func startRelay(t *testing.T, target string) (*Relay, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	relay := New(target)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		_ = relay.Serve(ctx, listener)
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return relay, listener.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// send writes one line. A write error shows up as a missing echo.
func send(conn net.Conn, line string) {
	_, _ = io.WriteString(conn, line+"\n")
}

func TestCutBackDelaysResponses(t *testing.T) {
	is := is.New(t)
	target, received := startEcho(t)
	relay, address := startRelay(t, target)
	conn, responses := dial(t, address)
	relay.SetFaults(Faults{Back: DirectionFaults{Cut: true}})
	send(conn, "one")
	is.Equal(<-received, "one") // the target receives the line although its response is blocked
	relay.SetFaults(Faults{})
	line, err := responses.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n")
}

func TestCutForwardDelaysRequests(t *testing.T) {
	is := is.New(t)
	target, received := startEcho(t)
	relay, address := startRelay(t, target)
	cut, _ := dial(t, address)
	relay.SetFaults(Faults{Forward: DirectionFaults{Cut: true}})
	send(cut, "late")
	direct, _ := dial(t, target)
	send(direct, "direct")
	is.Equal(<-received, "direct") // the cut bytes have not arrived
	relay.SetFaults(Faults{})
	is.Equal(<-received, "late")
}

func TestSilentAffectsOnlyOpenConnections(t *testing.T) {
	is := is.New(t)
	target, received := startEcho(t)
	relay, address := startRelay(t, target)
	old, responses := dial(t, address)
	send(old, "before")
	is.Equal(<-received, "before")
	_, err := responses.ReadString('\n')
	is.NoErr(err)
	relay.SetFaults(Faults{Silent: true})
	send(old, "lost")
	fresh, freshResponses := dial(t, address)
	send(fresh, "after")
	is.Equal(<-received, "after")
	line, err := freshResponses.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "after\n")
	is.Equal(len(received), 0)
	is.Equal(relay.OpenConnections(), 2) // the silent one is still open
}
