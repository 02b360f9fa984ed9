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
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/accountant"
	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/pooler"
)

// serve answers each request on its connections with given bytes.
func serve(t *testing.T, answer func() string) string {
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
			go func() {
				defer c.Close()
				requests := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(c, answer()); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func send(t *testing.T, p *pooler.Pooler, address string) (*pooler.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	is.New(t).NoErr(err)
	return p.Send(ctx, pooler.Message{Address: address, ID: "r", Request: request})
}

const answerHead = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n"

// TestHeadsOfAnswersAreBounded guards against heads of answers that take memory without bound:
// one at the limit is returned, one above it breaks the exchange, and closing it frees it.
func TestHeadsOfAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	address := serve(t, func() string { return fmt.Sprintf(answerHead, strings.Repeat("a:\r\n", 1000)) })
	memory := accountant.New(10 << 20)
	first, err := send(t, pooler.New(pooler.WithHeads(memory)), address)
	is.NoErr(err)
	weight := memory.Reserved()
	is.True(weight > 1000*100)
	first.Close()
	is.Equal(memory.Reserved(), int64(0))

	memory, registry := accountant.New(weight), metrics.NewRegistry()
	p := pooler.New(pooler.WithHeads(memory), pooler.WithMetrics(registry, "test"))
	at, err := send(t, p, address)
	is.NoErr(err)
	_, err = send(t, p, address)
	is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindBroken)
	is.Equal(metrics.GetOrRegisterCounter("test.headmemory", registry).Count(), int64(1))
	at.Close()
	is.Equal(memory.Reserved(), int64(0))
	again, err := send(t, p, address)
	is.NoErr(err)
	again.Close()

	_, err = send(t, pooler.New(pooler.WithHeads(accountant.New(weight-1))), address)
	is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindBroken)
}

// TestInterimAnswersAreBounded guards against interim answers without end.
func TestInterimAnswersAreBounded(t *testing.T) {
	for bound, options := range map[int][]pooler.Option{4096: nil, 320: {pooler.WithInterim(320)}} {
		for count, served := range map[int]bool{bound: true, bound + 1: false} {
			is := is.New(t)
			address := serve(t, func() string {
				return strings.Repeat("HTTP/1.1 102 Processing\r\nA: b\r\n\r\n", count) + fmt.Sprintf(answerHead, "")
			})
			exchange, err := send(t, pooler.New(append(options, pooler.WithHeads(accountant.New(1<<20)))...), address)
			is.Equal(err == nil, served)
			exchange.Close()
		}
	}
}

// TestOpenConnectionsAreBounded guards against connections to very many addresses: one at the
// limit is made, the next one is not and nothing of its request is sent, and unused ones make
// room.
func TestOpenConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	answer := func() string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab" }
	addresses := []string{serve(t, answer), serve(t, answer), serve(t, answer)}
	registry := metrics.NewRegistry()
	p := pooler.New(pooler.WithOpen(2), pooler.WithMetrics(registry, "test"))
	first, err := send(t, p, addresses[0])
	is.NoErr(err)
	second, err := send(t, p, addresses[1])
	is.NoErr(err)
	refused, err := send(t, p, addresses[2])
	is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindFull)
	is.True(!refused.Sent)
	is.Equal(metrics.GetOrRegisterCounter("test.full", registry).Count(), int64(1))
	_, err = io.ReadAll(first.Response.Body)
	is.NoErr(err)
	first.Close()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		third, err := send(t, p, addresses[2])
		if err == nil {
			third.Close()
			break
		}
		is.True(time.Now().Before(deadline)) // the unused connection makes room
	}
	second.Close()
}
