package matcher_test

import (
	"fmt"
	"runtime"
	"testing"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/matcher"
)

// routes is a tenth of the number of routes of the target fleet.
const routes = 6_800

func manyRoutes() (fleet.Configuration, []fleet.Route) {
	configuration := fleet.Configuration{}.WithRevision(1)
	all := make([]fleet.Route, routes)
	for i := range all {
		all[i] = fleet.Route{
			Name: fmt.Sprint("route", i), Service: fleet.ServiceName(fmt.Sprint("service", i%660)),
			Host: fmt.Sprintf("host%d.example", i%200), PathPrefix: fmt.Sprintf("/v1/part%d/item%d", i%50, i),
		}
		configuration = configuration.WithRoute(all[i])
	}
	return configuration, all
}

// BenchmarkNew builds the index, as happens after each accepted change of the routes,
// and reports time and memory for each route.
func BenchmarkNew(b *testing.B) {
	configuration, _ := manyRoutes()
	before := heap()
	m := matcher.New(configuration)
	size := float64(heap()-before) / routes
	b.ResetTimer()
	for range b.N {
		m = matcher.New(configuration)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/routes, "ns/route")
	b.ReportMetric(size, "B/route")
	runtime.KeepAlive(m)
}

func BenchmarkMatch(b *testing.B) {
	configuration, all := manyRoutes()
	m := matcher.New(configuration)
	b.ResetTimer()
	for i := range b.N {
		if _, found := m.Match("", all[i%routes].Host, "GET", all[i%routes].PathPrefix+"/7"); !found {
			b.Fatal("no route")
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
