package proof

import (
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/relay"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// second is the unit of the durations of faults. No check depends on it.
const second = time.Second

func TestGrayBackendServers(t *testing.T) {
	f := start(t)
	f.load(func() {
		time.Sleep(second)
		f.faults(f.vm(0), server.Faults{Slow: 20, Lie: true})
		f.faults(f.vm(1), server.Faults{Wrong: 0.3, Cut: 0.3, Lie: true})
		time.Sleep(2 * second)
		f.faults(f.vm(0), server.Faults{Errors: 0.5, Lie: true})
		f.faults(f.vm(1), server.Faults{Stuck: true, Lie: true})
		time.Sleep(3 * second)
	})
	f.check()
}

func TestFlapping(t *testing.T) {
	f := start(t)
	f.load(func() {
		f.faults(f.vm(0), server.Faults{Slow: 20, Cut: 0.3, Flap: 700, Lie: true})
		f.faults(f.vm(1), server.Faults{Stuck: true, Flap: 1100, Lie: true})
		time.Sleep(5 * second)
	})
	f.check()
}

func TestKill(t *testing.T) {
	f := start(t)
	f.load(func() {
		time.Sleep(second)
		f.vm(0).Backend.Kill()
		time.Sleep(second)
		f.killVM(f.vm(1))
		time.Sleep(second)
		f.is.NoErr(f.harness.StartBackend(f.vm(0)))
		time.Sleep(2 * second)
	})
	f.check()
}

// Nodes are frozen for longer than a lease, which expires undetected by its frozen
// holder.
func TestFreeze(t *testing.T) {
	f := start(t)
	f.load(func() {
		time.Sleep(second)
		f.freeze(f.vm(0), 700*time.Millisecond)
		f.freeze(f.vm(1), 4*second)
		f.vm(2).Backend.Freeze()
		time.Sleep(2 * second)
		f.vm(2).Backend.Thaw()
		time.Sleep(second)
	})
	f.check()
}

// Requests of other nodes do not reach a node, then the responses of another node
// do not reach the others. The blocked bytes arrive late.
func TestOneWayCut(t *testing.T) {
	f := start(t, harness.WithRelays())
	f.load(func() {
		time.Sleep(second)
		f.vm(0).Relay.SetFaults(relay.Faults{Forward: relay.DirectionFaults{Cut: true}})
		time.Sleep(2 * second)
		f.vm(0).Relay.SetFaults(relay.Faults{})
		f.vm(1).Relay.SetFaults(relay.Faults{Back: relay.DirectionFaults{Cut: true}})
		time.Sleep(2 * second)
		f.vm(1).Relay.SetFaults(relay.Faults{Back: relay.DirectionFaults{Delay: 300}})
		time.Sleep(second)
		f.vm(1).Relay.SetFaults(relay.Faults{})
		time.Sleep(second)
	})
	f.check()
}

func TestSilentConnections(t *testing.T) {
	f := start(t, harness.WithRelays())
	f.load(func() {
		time.Sleep(second)
		f.faults(f.vm(0), server.Faults{Silent: true})
		time.Sleep(second)
		for _, vm := range f.harness.VMs() {
			vm.Relay.SetFaults(relay.Faults{Silent: true})
		}
		time.Sleep(3 * second)
	})
	f.check()
}

func TestLogOutage(t *testing.T) {
	f := start(t)
	f.load(func() {
		f.is.NoErr(f.harness.SetLogFaults(harness.LogFaults{Slow: 1500}))
		time.Sleep(2 * second)
		f.is.NoErr(f.harness.SetLogFaults(harness.LogFaults{Down: true}))
		f.vm(0).Backend.Kill()
		time.Sleep(second)
		fresh, err := f.harness.StartVM(service, zones[0])
		f.is.NoErr(err)
		f.is.NoErr(f.harness.AwaitConfigured(fresh, readyTimeout)) // from peers alone
		f.caller.SetNodes(f.harness.CallerAddresses())
		time.Sleep(2 * second)
		f.is.NoErr(f.harness.SetLogFaults(harness.LogFaults{}))
		time.Sleep(second)
	})
	f.check()
}
