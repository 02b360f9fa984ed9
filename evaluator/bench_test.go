package evaluator_test

import (
	"fmt"
	"testing"

	"cowsliptally.example/cowsliptally/evaluator"
	"cowsliptally.example/cowsliptally/fleet"
)

// directory holds backend servers by service.
type directory map[fleet.ServiceName][]fleet.Backend

func (d directory) Backends(name fleet.ServiceName) []fleet.Backend { return d[name] }

// BenchmarkReview measures one Tick with a review, over 100 services of 17 backend servers.
func BenchmarkReview(b *testing.B) {
	const services, each = 100, 17
	all := directory{}
	clock := &stopped{start}
	e := evaluator.New(evaluator.WithClock(clock), evaluator.WithDirectory(all))
	for i := range services {
		name := fleet.ServiceName(fmt.Sprint("s", i))
		for k := range each {
			id := fleet.BackendID(fmt.Sprint(name, "-", k))
			all[name] = append(all[name], fleet.Backend{ID: id, Service: name, Slots: 4, State: fleet.BackendReady})
			e.Observe(fleet.Sample{At: start, Service: name, Backend: id, Kind: "k", Class: fleet.ClassOK})
		}
	}
	for b.Loop() {
		clock.now = clock.now.Add(10 * evaluator.TickEvery)
		e.Tick(clock.now)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/services/each, "ns/backend")
}

func BenchmarkObserveAndPick(b *testing.B) {
	clock := &stopped{start}
	e := evaluator.New(evaluator.WithClock(clock))
	s := fleet.Sample{Service: service, Kind: "k", Class: fleet.ClassOK, ServiceTime: 20_000_000, PathTime: 21_000_000}
	for i := range b.N {
		s.Backend = fleet.BackendID("b" + string(rune('a'+i%20)))
		s.At = start
		attempt := e.StartAttempt(service, s.Backend, s.Kind)
		e.Share(s.Backend)
		e.EndAttempt(attempt)
		e.Observe(s)
	}
}
