package sealer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/sealer"
)

// BenchmarkBegin measures Begin at full capacity, and reports the bytes that each
// remembered submission takes.
func BenchmarkBegin(b *testing.B) {
	requests := make([]fleet.RequestID, 4*sealer.DefaultCapacity)
	for i := range requests {
		requests[i] = fleet.RequestID(fmt.Sprintf("0192f3c4-0000-7000-8000-%012d", i))
	}
	before := heap()
	s := sealer.New("node", clockwork.NewRealClock())
	for _, request := range requests {
		s.Begin(sealer.Attempt{Request: request, Number: 1, Ticket: s.Ticket()})
	}
	size := float64(heap()-before) / float64(s.Len())
	b.ResetTimer()
	for i := range b.N {
		s.Begin(sealer.Attempt{Request: requests[i%len(requests)], Number: 1, Ticket: s.Ticket()})
	}
	b.ReportMetric(size, "B/submission")
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
