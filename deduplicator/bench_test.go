package deduplicator_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/deduplicator"
	"cowsliptally.example/cowsliptally/fleet"
)

// BenchmarkResponsibleNode finds the node responsible for a key among the fleet's target size of
// 4,000 nodes.
func BenchmarkResponsibleNode(b *testing.B) {
	d := deduplicator.New("node0", clockwork.NewRealClock())
	var members []fleet.NodeID
	for i := range 4000 {
		members = append(members, fleet.NodeID(fmt.Sprint("node", i)))
	}
	d.UpdateMembers(members)
	b.ResetTimer()
	for i := range b.N {
		d.ResponsibleNode(fmt.Sprint("key", i))
	}
}

// BenchmarkGrant grants keys and reports the bytes that each key takes.
func BenchmarkGrant(b *testing.B) {
	before := heap()
	d := deduplicator.New("node", clockwork.NewRealClock())
	for range 20_000 {
		d.Grant("kiosk", d.Issue(), "0192f3c4-0000-7000-8000-000000000000")
	}
	size := float64(heap()-before) / float64(d.Len())
	b.ResetTimer()
	for range b.N {
		d.Grant("kiosk", d.Issue(), "holder")
	}
	b.ReportMetric(size, "B/key")
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
