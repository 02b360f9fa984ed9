package forwarder_test

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkAddedLatency sends the same requests to a backend server directly and
// through ingress and owner, in turns, and reports the difference.
func BenchmarkAddedLatency(b *testing.B) {
	for _, callers := range []int{1, 4} {
		b.Run("callers="+strconv.Itoa(callers), func(b *testing.B) {
			r := newRig(b)
			o := r.addOwner("a", http.HandlerFunc(echo))
			direct := make([]time.Duration, 0, b.N)
			through := make([]time.Duration, 0, b.N)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			var mu sync.Mutex
			var group sync.WaitGroup
			b.ResetTimer()
			for range callers {
				group.Go(func() {
					for range max(1, b.N/callers) {
						d := timed(b, client, o.server.URL)
						t := timed(b, client, r.caller.URL)
						mu.Lock()
						direct, through = append(direct, d), append(through, t)
						mu.Unlock()
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(at(direct, 0.50).Microseconds()), "direct-p50-µs")
			b.ReportMetric(float64((at(through, 0.50) - at(direct, 0.50)).Microseconds()), "added-p50-µs")
			b.ReportMetric(float64((at(through, 0.99) - at(direct, 0.99)).Microseconds()), "added-p99-µs")
			b.ReportMetric(float64(at(through, 0.50))/float64(at(direct, 0.50)), "ratio-p50")
		})
	}
}

// BenchmarkThroughput sends requests through ingress and owner as fast as 4 slots allow.
func BenchmarkThroughput(b *testing.B) {
	r := newRig(b)
	r.addOwner("a", http.HandlerFunc(echo))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var group sync.WaitGroup
	b.ReportAllocs()
	for range 4 {
		group.Go(func() {
			for range max(1, b.N/4) {
				timed(b, client, r.caller.URL)
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func timed(b *testing.B, client *http.Client, url string) time.Duration {
	start := time.Now()
	response, err := client.Post(url+"/refund", "text/plain", strings.NewReader("a booking"))
	if err != nil {
		b.Error(err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		b.Error(response.Status, err)
	}
	return time.Since(start)
}

func at(times []time.Duration, quantile float64) time.Duration {
	slices.Sort(times)
	return times[int(quantile*float64(len(times)-1))]
}
