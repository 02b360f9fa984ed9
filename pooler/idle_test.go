package pooler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/expirer"
	"cowsliptally.example/cowsliptally/pooler"
)

// burst is the number of requests that are sent at once.
const burst = 8

// serveIdle answers requests after some time, but resets connections that were idle for a time when
// the next request comes.
func serveIdle(t *testing.T, work, lasts time.Duration) string {
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
				for answered := time.Now(); ; answered = time.Now() {
					_, err := requests.Peek(1)
					if err == nil && time.Since(answered) > lasts {
						_ = c.(*net.TCPConn).SetLinger(0)
						return
					}
					r, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(work)
					_, _ = io.WriteString(c, echoed(r.Header.Get("ID"), "ok"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// sendBurst sends requests at once, ends those that are answered and returns how many are not.
func sendBurst(t *testing.T, p *pooler.Pooler, address string) (lost int) {
	t.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range burst {
		all.Go(func() {
			exchange, err := sendEcho(t, p, address, fmt.Sprint(i))
			if err == nil {
				_, err = io.ReadAll(exchange.Response.Body)
			}
			exchange.Close()
			if err != nil {
				t.Log(err)
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return lost
}

// TestDroppedIdleConnectionsCostOneRequest guards against requests that are lost one after another, or
// all at once, on connections which their server has dropped without notice.
func TestDroppedIdleConnectionsCostOneRequest(t *testing.T) {
	is := is.New(t)
	const lasts = 300 * time.Millisecond
	address, registry := serveIdle(t, 30*time.Millisecond, lasts), metrics.NewRegistry()
	p := pooler.New(pooler.WithMetrics(registry, "test"),
		pooler.WithExpirer(expirer.New(expirer.WithTrial(200*time.Millisecond), expirer.WithMaxReset(time.Second))))
	count := func(name string) int64 { return metrics.GetOrRegisterCounter("test."+name, registry).Count() }
	is.Equal(sendBurst(t, p, address), 0)
	time.Sleep(lasts + 50*time.Millisecond)
	is.True(sendBurst(t, p, address) <= 1)
	is.True(count("dropped") <= 1)
	for range 3 {
		time.Sleep(lasts + 50*time.Millisecond)
		is.Equal(sendBurst(t, p, address), 0)
	}
	is.Equal(count("dropped"), int64(1))
	is.True(count("expired") >= burst-1)
}

// TestLastingIdleConnectionsAreKept guards against connections that are opened although those that
// were idle would have lasted.
func TestLastingIdleConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	address, registry := serveIdle(t, 100*time.Millisecond, 10*time.Second), metrics.NewRegistry()
	p := pooler.New(pooler.WithMetrics(registry, "test"), pooler.WithExpirer(expirer.New()))
	for range 4 {
		is.Equal(sendBurst(t, p, address), 0)
		time.Sleep(400 * time.Millisecond)
	}
	is.Equal(metrics.GetOrRegisterCounter("test.opened", registry).Count(), int64(burst))
	is.Equal(metrics.GetOrRegisterCounter("test.expired", registry).Count(), int64(0))
}
