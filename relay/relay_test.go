package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// startEcho serves an echo of each line and returns its address and what it read.
func startEcho(t *testing.T) (string, <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	heard := make(chan string, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(conn)
				for lines.Scan() {
					heard <- lines.Text()
					send(conn, lines.Text())
				}
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String(), heard
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

// send writes one line; an echo that does not come tells of a failure.
func send(conn net.Conn, line string) {
	_, _ = io.WriteString(conn, line+"\n")
}

func TestCutBackHoldsAnswersUntilItEnds(t *testing.T) {
	is := is.New(t)
	target, heard := startEcho(t)
	relay, address := startRelay(t, target)
	conn, answers := dial(t, address)
	relay.SetFaults(Faults{Back: Direction{Cut: true}})
	send(conn, "one")
	is.Equal(<-heard, "one") // the target hears although its answer is held
	relay.SetFaults(Faults{})
	line, err := answers.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n")
}

func TestCutForwardHoldsRequests(t *testing.T) {
	is := is.New(t)
	target, heard := startEcho(t)
	relay, address := startRelay(t, target)
	cut, _ := dial(t, address)
	relay.SetFaults(Faults{Forward: Direction{Cut: true}})
	send(cut, "late")
	direct, _ := dial(t, target)
	send(direct, "direct")
	is.Equal(<-heard, "direct") // the cut bytes have not passed it
	relay.SetFaults(Faults{})
	is.Equal(<-heard, "late")
}

func TestSilentConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	is := is.New(t)
	target, heard := startEcho(t)
	relay, address := startRelay(t, target)
	old, answers := dial(t, address)
	send(old, "before")
	is.Equal(<-heard, "before")
	_, err := answers.ReadString('\n')
	is.NoErr(err)
	relay.SetFaults(Faults{Silent: true})
	send(old, "lost")
	fresh, freshAnswers := dial(t, address)
	send(fresh, "after")
	is.Equal(<-heard, "after")
	line, err := freshAnswers.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "after\n")
	is.Equal(len(heard), 0)
	is.Equal(relay.Open(), 2) // the silent one is still open
}
