package reducer_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
)

var (
	serviceNames = []string{"ledger", "intake"}
	routeNames   = []string{"book", "refund"}
	backendIDs   = []string{"b1", "b2", "b3", "b4", "b5", "b6"}
)

func drawChange(t *rapid.T) *cowsliptallyv1.Change {
	service := rapid.SampledFrom(serviceNames).Draw(t, "service")
	backend := rapid.SampledFrom(backendIDs).Draw(t, "backend")
	switch rapid.IntRange(0, 8).Draw(t, "change") {
	case 0, 1:
		rule := &cowsliptallyv1.TrustRule{ErrorRate: rapid.SampledFrom([]float64{0, 0, 0.1, 0.1, 2}).Draw(t, "rate")}
		floor := uint32(rapid.IntRange(0, 12).Draw(t, "floor"))
		put := &cowsliptallyv1.Service{Name: service, MinHealthySlots: floor, Rule: rule}
		return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{PutService: put}}
	case 2:
		return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteService{DeleteService: service}}
	case 3:
		route := &cowsliptallyv1.Route{Name: rapid.SampledFrom(routeNames).Draw(t, "route"), Service: service, PathPrefix: "/"}
		return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutRoute{PutRoute: route}}
	case 4:
		return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteRoute{DeleteRoute: rapid.SampledFrom(routeNames).Draw(t, "route")}}
	case 5, 6, 7:
		override := &cowsliptallyv1.Override{Backend: backend, Decision: rapid.SampledFrom([]string{"in", "out"}).Draw(t, "decision")}
		return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutOverride{PutOverride: override}}
	default:
		return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteOverride{DeleteOverride: backend}}
	}
}

func drawRecord(t *rapid.T, revision uint64, depth int) *cowsliptallyv1.Record {
	service := rapid.SampledFrom(serviceNames).Draw(t, "service")
	backend := rapid.SampledFrom(backendIDs).Draw(t, "backend")
	owner := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "owner")
	switch rapid.IntRange(0, 9).Draw(t, "record") {
	case 0, 1:
		base := uint64(max(0, int(revision)+rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, -1, 1}).Draw(t, "base")))
		operation := fmt.Sprintf("o%d", rapid.IntRange(0, 500).Draw(t, "operation"))
		changes := rapid.SliceOfN(rapid.Custom(drawChange), rapid.SampledFrom([]int{0, 1, 1, 1}).Draw(t, "least"), 2).Draw(t, "changes")
		p := &cowsliptallyv1.Proposal{Operation: operation, BaseRevision: base, Author: "a", Changes: changes}
		return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Proposal{Proposal: p}}
	case 2, 3, 4:
		e := &cowsliptallyv1.Ejection{Backend: backend, Service: service, Node: owner}
		return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Ejection{Ejection: e}}
	case 5:
		return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Return{Return: &cowsliptallyv1.Return{Backend: backend}}}
	case 6, 7:
		b := &cowsliptallyv1.BackendServer{Id: backend, Service: service, Owner: owner, Slots: uint32(rapid.IntRange(0, 4).Draw(t, "slots"))}
		b.Sequence = uint64(rapid.IntRange(1, 5).Draw(t, "sequence"))
		return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: &cowsliptallyv1.Join{Backend: b}}}
	case 8:
		owner := rapid.SampledFrom([]string{"", "n1"}).Draw(t, "leaving")
		return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Leave{Leave: &cowsliptallyv1.Leave{Backend: backend, Owner: owner}}}
	default:
		group := &cowsliptallyv1.Group{}
		for range 2 * depth {
			group.Records = append(group.Records, drawRecord(t, revision, depth-1))
		}
		return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Group{Group: group}}
	}
}

func compare(t *rapid.T, s reducer.State, o *oracle) {
	if got := uint64(s.Configuration().Revision()); got != o.revision {
		t.Fatalf("revision %d, want %d", got, o.revision)
	}
	_, routes, _, overrides := s.Configuration().Counts()
	if routes != len(o.routes) || overrides != len(o.overrides) || len(s.Joined()) != len(o.backends) {
		t.Fatalf("%d routes, %d overrides, %d joined, want %v %v %v", routes, overrides, len(s.Joined()), o.routes, o.overrides, o.backends)
	}
	for _, id := range backendIDs {
		_, got := s.Ejected(fleet.BackendID(id))
		if _, want := o.ejected[id]; got != want {
			t.Fatalf("backend server %s ejected %t, want %t", id, got, want)
		}
	}
	for _, name := range serviceNames {
		healthy, all := o.healthy(name)
		if got := s.HealthySlots(fleet.ServiceName(name)); got != healthy || s.Slots(fleet.ServiceName(name)) != all {
			t.Fatalf("service %s has %d healthy slots, want %d of %d", name, got, healthy, all)
		}
	}
	for operation, want := range o.results {
		result, found := s.Result(operation)
		if !found || result.GetRevision() != want {
			t.Fatalf("operation %s has result %v, want revision %d", operation, result, want)
		}
	}
}

// checkFloor fails when a service is below its minimum while one of its
// backend servers is ejected.
func checkFloor(t *rapid.T, s reducer.State) {
	for _, b := range s.Joined() {
		service, _ := s.Configuration().Service(b.Service)
		if _, ejected := s.Ejected(b.ID); ejected && s.HealthySlots(b.Service) < service.MinHealthySlots {
			t.Fatalf("%s is ejected with %d of %d healthy slots", b.ID, s.HealthySlots(b.Service), service.MinHealthySlots)
		}
	}
}

// initialRecords sets up two services with backend servers, so that later records
// take effect.
func initialRecords() []*cowsliptallyv1.Record {
	p := &cowsliptallyv1.Proposal{Operation: "first", Author: "a"}
	for _, name := range serviceNames {
		put := &cowsliptallyv1.Service{Name: name, MinHealthySlots: 4}
		p.Changes = append(p.Changes, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{PutService: put}})
	}
	records := []*cowsliptallyv1.Record{{Body: &cowsliptallyv1.Record_Proposal{Proposal: p}}}
	for i, id := range backendIDs {
		b := &cowsliptallyv1.BackendServer{Id: id, Service: serviceNames[i%2], Owner: "n1", Slots: 3, Sequence: 1}
		records = append(records, &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: &cowsliptallyv1.Join{Backend: b}}})
	}
	return records
}

func TestStateMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s reducer.State
		o := newOracle()
		for _, record := range initialRecords() {
			offset := s.NextOffset()
			s, _ = s.Apply(offset, record)
			o.apply(offset, record)
		}
		compare(t, s, o)
		first := s.NextOffset()
		for offset := range uint64(rapid.IntRange(1, 80).Draw(t, "length")) {
			record := drawRecord(t, o.revision, 1)
			offset += first
			before := s
			unchanged, members := before.Checkpoint(), fmt.Sprint(before.Backends("ledger"), before.Backends("intake"))
			s, _ = before.Apply(offset, record)
			o.apply(offset, record)
			compare(t, s, o)
			checkFloor(t, s)
			if again, events := s.Apply(offset, record); !proto.Equal(again.Checkpoint(), s.Checkpoint()) || events != nil {
				t.Fatalf("record %d was applied twice", offset)
			}
			if !proto.Equal(before.Checkpoint(), unchanged) || members != fmt.Sprint(before.Backends("ledger"), before.Backends("intake")) {
				t.Fatalf("applying record %d changed the earlier state", offset)
			}
		}
		restored := restore(t, s, rapid.IntRange(50, 5000).Draw(t, "bytes"))
		if !proto.Equal(restored.Checkpoint(), s.Checkpoint()) {
			t.Fatalf("restored %v, want %v", restored.Checkpoint(), s.Checkpoint())
		}
		compare(t, restored, o)
	})
}

// restore encodes a state as the parts of a checkpoint and restores it from them.
func restore(t *rapid.T, s reducer.State, partBytes int) reducer.State {
	var assembler reducer.Assembler
	for _, part := range reducer.Split(s.Checkpoint(), partBytes) {
		payload, err := proto.Marshal(part)
		if err != nil {
			t.Fatal(err)
		}
		read := &cowsliptallyv1.Checkpoint{}
		if err := proto.Unmarshal(payload, read); err != nil {
			t.Fatal(err)
		}
		whole, done := assembler.Add(read)
		if !done {
			continue
		}
		restored, err := reducer.FromCheckpoint(whole)
		if err != nil {
			t.Fatal(err)
		}
		return restored
	}
	t.Fatal("the checkpoint is not complete after its last part")
	return reducer.State{}
}

func TestMalformedRecordsAreSkippedAndReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		s, _ := reducer.State{}.ApplyPayload(0, payload)
		if s.NextOffset() != 1 || s.Configuration().Revision() != 0 {
			t.Fatalf("payload %x gave offset %d, revision %d", payload, s.NextOffset(), s.Configuration().Revision())
		}
		if _, events := s.ApplyPayload(1, []byte("not a record")); len(events) != 1 || events[0].Kind != fleet.EventSkipped {
			t.Fatalf("events %v, want one of kind skipped", events)
		}
	})
}
