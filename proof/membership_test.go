package proof

import (
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// drainLimit is the time after which a draining backend server must get no new
// requests.
const drainLimit = 2 * time.Second

// Every VM is replaced by a new one while the log service is down.
func TestReplacementOfEverything(t *testing.T) {
	f := start(t)
	f.load(func() {
		time.Sleep(second)
		f.is.NoErr(f.harness.SetLogFaults(harness.LogFaults{Down: true}))
		for _, old := range f.harness.VMs() {
			fresh, err := f.harness.StartVM(service, old.Zone)
			f.is.NoErr(err)
			f.is.NoErr(f.harness.AwaitConfigured(fresh, readyTimeout))
			f.is.NoErr(f.harness.AwaitReady(1, servers+1, readyTimeout))
			f.caller.SetNodes(f.harness.CallerAddresses()) // includes the old node, whose callers keep using it
			f.is.NoErr(old.Retire(endTimeout))
			f.is.NoErr(f.harness.AwaitReady(1, servers, readyTimeout))
		}
		f.is.NoErr(f.harness.SetLogFaults(harness.LogFaults{}))
		time.Sleep(second)
	})
	report := f.check()
	f.is.Equal(report.Excused, 0) // a graceful shutdown breaks no connection
}

// callerAddressesExcept returns the caller addresses of all running nodes except
// that of one VM.
func callerAddressesExcept(h *harness.Harness, excluded *harness.VM) []string {
	var addresses []string
	for _, address := range h.CallerAddresses() {
		if address != excluded.CallerAddress {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// A draining backend server finishes its requests in flight and gets no new ones.
func TestDrain(t *testing.T) {
	f := start(t)
	f.load(func() {
		time.Sleep(second)
		f.faults(f.vm(0), server.Faults{Slow: 20, Lie: true}) // so that requests are in flight
		f.is.NoErr(f.harness.Drain(f.vm(0)))
		time.Sleep(drainLimit)
		after := f.starts(f.vm(0))
		f.is.NoErr(f.vm(1).Backend.Terminate(endTimeout))
		time.Sleep(2 * second)
		f.is.Equal(f.starts(f.vm(0)), after)
	})
	f.check()
}

// starts counts the runs that a backend server started.
func (f *fixture) starts(vm *harness.VM) int {
	f.t.Helper()
	entries, err := f.harness.LedgerEntries()
	f.is.NoErr(err)
	starts := 0
	for _, entry := range entries {
		if entry.Backend == string(vm.BackendID()) {
			starts += entry.Starts
		}
	}
	return starts
}
