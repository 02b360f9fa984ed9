package reducer_test

import (
	"fmt"
	"maps"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
)

// size is a fleet's number of routes, limits and backend servers.
type size struct{ routes, limits, backends int }

func (s size) String() string {
	return fmt.Sprintf("routes=%d/limits=%d/backends=%d", s.routes, s.limits, s.backends)
}

var sizes = []size{{1000, 1000, 100}, {8000, 60_000, 13_000}, {68_000, 490_000, 110_000}}

func route(i int) *cowsliptallyv1.Route {
	return &cowsliptallyv1.Route{Name: fmt.Sprintf("route-%06d", i), Service: fmt.Sprintf("service-%04d", i%6600), PathPrefix: fmt.Sprintf("/v1/resource-%06d", i), Kind: "read", Weight: 1, Idempotent: true}
}

func limit(i int) *cowsliptallyv1.Limit {
	return &cowsliptallyv1.Limit{Organisation: fmt.Sprintf("organisation-%06d", i), RequestsPerSecond: 50, Burst: 100}
}

func backend(i int) *cowsliptallyv1.BackendServer {
	return &cowsliptallyv1.BackendServer{Id: fmt.Sprintf("backend-%06d", i), Service: fmt.Sprintf("service-%04d", i%6600), Owner: fmt.Sprintf("node-%04d", i/28), Zone: "z1", Address: "127.0.0.1:8080", Slots: 4, Sequence: 1}
}

func checkpoint(s size) *cowsliptallyv1.Checkpoint {
	c := &cowsliptallyv1.Checkpoint{NextOffset: 1, Configuration: &cowsliptallyv1.Configuration{Revision: 1}}
	for i := range min(6600, s.routes) {
		c.Configuration.Services = append(c.Configuration.Services, &cowsliptallyv1.Service{Name: fmt.Sprintf("service-%04d", i), MinHealthySlots: 4})
	}
	for i := range s.routes {
		c.Configuration.Routes = append(c.Configuration.Routes, route(i))
	}
	for i := range s.limits {
		c.Configuration.Limits = append(c.Configuration.Limits, limit(i))
	}
	for i := range s.backends {
		c.Backends = append(c.Backends, backend(i))
	}
	return c
}

func stateOf(b *testing.B, s size) reducer.State {
	b.Helper()
	state, err := reducer.FromCheckpoint(checkpoint(s))
	if err != nil {
		b.Fatal(err)
	}
	return state
}

func proposal(i int, state reducer.State, change *cowsliptallyv1.Change) *cowsliptallyv1.Record {
	p := &cowsliptallyv1.Proposal{Operation: fmt.Sprint("o", i), BaseRevision: uint64(state.Configuration().Revision()), Author: "a", Changes: []*cowsliptallyv1.Change{change}}
	return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Proposal{Proposal: p}}
}

// BenchmarkApply measures one accepted change of a route and of a limit, and one join.
func BenchmarkApply(b *testing.B) {
	kinds := map[string]func(i int, s size, state reducer.State) *cowsliptallyv1.Record{
		"route": func(i int, s size, state reducer.State) *cowsliptallyv1.Record {
			return proposal(i, state, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutRoute{PutRoute: route(i % s.routes)}})
		},
		"limit": func(i int, s size, state reducer.State) *cowsliptallyv1.Record {
			return proposal(i, state, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutLimit{PutLimit: limit(i % s.limits)}})
		},
		"join": func(i int, s size, _ reducer.State) *cowsliptallyv1.Record {
			joined := backend(i % s.backends)
			joined.Sequence = uint64(i + 2)
			return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: &cowsliptallyv1.Join{Backend: joined}}}
		},
	}
	for _, s := range sizes {
		first := stateOf(b, s)
		for name, record := range kinds {
			b.Run(fmt.Sprintf("%s/%v", name, s), func(b *testing.B) {
				b.ReportAllocs()
				state := first
				i := 0
				for b.Loop() {
					state, _ = state.Apply(state.NextOffset(), record(i, s, state))
					i++
				}
			})
		}
	}
}

// BenchmarkMapCopy is the baseline: a change that copies the map of all limits.
func BenchmarkMapCopy(b *testing.B) {
	for _, s := range sizes {
		limits := make(map[fleet.Organisation]fleet.Limit, s.limits)
		for i := range s.limits {
			name := fleet.Organisation(limit(i).GetOrganisation())
			limits[name] = fleet.Limit{Organisation: name}
		}
		b.Run(s.String(), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				changed := maps.Clone(limits)
				changed["organisation-000001"] = fleet.Limit{}
			}
		})
	}
}

// BenchmarkBytes reports the bytes of heap and of the encoded checkpoint for each
// route, limit and backend server.
func BenchmarkBytes(b *testing.B) {
	for name, s := range map[string]size{"route": {68_000, 0, 0}, "limit": {0, 490_000, 0}, "backend": {0, 0, 110_000}, "all": {68_000, 490_000, 110_000}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				encoded, err := proto.Marshal(checkpoint(s))
				if err != nil {
					b.Fatal(err)
				}
				before := heapBytes()
				state := restored(b, encoded)
				entries := float64(s.routes + s.limits + s.backends)
				b.ReportMetric(float64(heapBytes()-before)/entries, "heapB/entry")
				b.ReportMetric(float64(len(encoded))/entries, "wireB/entry")
				runtime.KeepAlive(state)
			}
		})
	}
}

func restored(b *testing.B, encoded []byte) reducer.State {
	b.Helper()
	c := &cowsliptallyv1.Checkpoint{}
	if err := proto.Unmarshal(encoded, c); err != nil {
		b.Fatal(err)
	}
	state, err := reducer.FromCheckpoint(c)
	if err != nil {
		b.Fatal(err)
	}
	return state
}

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRestore measures restoring the state from an encoded checkpoint, as a
// fresh node does.
func BenchmarkRestore(b *testing.B) {
	for _, s := range sizes {
		encoded, err := proto.Marshal(checkpoint(s))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				restored(b, encoded)
			}
		})
	}
}
