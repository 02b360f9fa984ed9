package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/checker"
	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/relay"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// faultCase is one kind of fault in a schedule.
type faultCase struct {
	name string
	// inject injects the fault at a VM, for about a second if it is temporary.
	inject func(f *fixture, vm *harness.VM)
}

// faultCases returns all kinds in a fixed order.
func faultCases() []faultCase {
	gray := func(faults server.Faults) func(*fixture, *harness.VM) {
		return func(f *fixture, vm *harness.VM) {
			_ = f.harness.SetFaults(vm, faults) // fails if the backend server is dead
			time.Sleep(second)
			_ = f.harness.SetFaults(vm, server.Faults{})
		}
	}
	log := func(faults harness.LogFaults) func(*fixture, *harness.VM) {
		return func(f *fixture, _ *harness.VM) {
			f.is.NoErr(f.harness.SetLogFaults(faults))
			time.Sleep(second)
			f.is.NoErr(f.harness.SetLogFaults(harness.LogFaults{}))
		}
	}
	cut := func(faults relay.Faults) func(*fixture, *harness.VM) {
		return func(_ *fixture, vm *harness.VM) {
			vm.Relay.SetFaults(faults)
			time.Sleep(second)
			vm.Relay.SetFaults(relay.Faults{})
		}
	}
	return []faultCase{
		{"slow", gray(server.Faults{Slow: 20, Lie: true})},
		{"errors", gray(server.Faults{Errors: 0.5, Lie: true})},
		{"wrong", gray(server.Faults{Wrong: 0.3, Cut: 0.3, Lie: true})},
		{"stuck", gray(server.Faults{Stuck: true, Lie: true})},
		{"flapping", gray(server.Faults{Slow: 20, Cut: 0.5, Flap: 300, Lie: true})},
		{"silent", gray(server.Faults{Silent: true})},
		{"cut-forward", cut(relay.Faults{Forward: relay.DirectionFaults{Cut: true}})},
		{"cut-back", cut(relay.Faults{Back: relay.DirectionFaults{Cut: true}})},
		{"log-down", log(harness.LogFaults{Down: true})},
		{"log-slow", log(harness.LogFaults{Slow: 500})},
		{"log-lost", log(harness.LogFaults{Lose: 5})},
		{"freeze", func(f *fixture, vm *harness.VM) { f.freeze(vm, second) }},
		{"kill-backend", func(_ *fixture, vm *harness.VM) { vm.Backend.Kill() }},
		{"kill-vm", func(f *fixture, vm *harness.VM) { f.killVM(vm) }},
		{"drain", func(f *fixture, vm *harness.VM) { _ = f.harness.Drain(vm) }},
		{"replace", func(f *fixture, vm *harness.VM) { f.replace(vm) }},
	}
}

// replace shuts a VM down gracefully once a new one is configured.
func (f *fixture) replace(old *harness.VM) {
	fresh, err := f.harness.StartVM(service, old.Zone)
	f.is.NoErr(err)
	f.is.NoErr(f.harness.AwaitConfigured(fresh, readyTimeout))
	f.caller.SetNodes(callerAddressesExcept(f.harness, old))
	f.is.NoErr(old.Retire(endTimeout))
}

// schedule is two concurrent faults at VMs drawn from a seed.
type schedule struct {
	first, second faultCase
	firstVM       int
	secondVM      int
}

func (s schedule) String() string {
	return fmt.Sprintf("%s at %d with %s at %d", s.first.name, s.firstVM, s.second.name, s.secondVM)
}

// drawSchedule returns a schedule whose faults are injected at two different VMs.
func drawSchedule(random *rand.Rand) schedule {
	all := faultCases()
	drawn := schedule{first: all[random.IntN(len(all))], second: all[random.IntN(len(all))]}
	drawn.firstVM = random.IntN(servers)
	drawn.secondVM = (drawn.firstVM + 1 + random.IntN(servers-1)) % servers
	return drawn
}

// runSchedules runs schedules one after another on one fleet and checks the results.
func runSchedules(t *testing.T, schedules ...schedule) checker.Report {
	f := start(t, harness.WithRelays())
	f.load(func() {
		time.Sleep(second / 2)
		for _, drawn := range schedules {
			t.Log(drawn)
			other := make(chan struct{})
			go func() {
				defer close(other)
				drawn.first.inject(f, f.vm(drawn.firstVM))
			}()
			drawn.second.inject(f, f.vm(drawn.secondVM))
			<-other
			time.Sleep(second)
		}
	})
	return f.check()
}

// Pairs of faults drawn from fixed seeds, each on its own fleet.
func TestPairs(t *testing.T) {
	for _, pairSeed := range []uint64{1, 2, 3, 4} {
		drawn := drawSchedule(rand.New(rand.NewPCG(pairSeed, pairSeed)))
		name := fmt.Sprintf("seed=%d %s", pairSeed, drawn)
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) { runSchedules(t, drawn) })
	}
}

// TestSoak runs seeded schedules of two pairs each. When one fails, it looks for a
// single pair that also fails.
func TestSoak(t *testing.T) {
	if !*soak {
		t.Log("only with -soak")
		return
	}
	random := rand.New(rand.NewPCG(*seed, *seed))
	for i := range *count {
		schedules := []schedule{drawSchedule(random), drawSchedule(random)}
		if t.Run(fmt.Sprintf("seed=%d_schedule=%d", *seed, i), func(t *testing.T) { runSchedules(t, schedules...) }) {
			continue
		}
		shortest := schedules
		for j, part := range schedules {
			if !t.Run(fmt.Sprintf("seed=%d_schedule=%d_part=%d", *seed, i, j), func(t *testing.T) { runSchedules(t, part) }) {
				shortest = []schedule{part}
			}
		}
		t.Fatalf("shortest failing schedule, seed %d: %v", *seed, shortest)
	}
}
