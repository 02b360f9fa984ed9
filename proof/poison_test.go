package proof

import (
	"net/http"
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// maxCrashes limits the backend servers that one caller's request may crash.
const maxCrashes = 2

// A request crashes each backend server that runs it. Its caller sends it
// repeatedly through all nodes, while other requests are served.
func TestCrashRequest(t *testing.T) {
	f := start(t)
	for _, vm := range f.harness.VMs() {
		f.faults(vm, server.Faults{Crash: "poison"})
	}
	crashing := caller.Kind{Name: "history", Method: http.MethodGet, Path: "/history/poison", Idempotent: true, Timeout: time.Second}
	crashCaller := caller.New(f.harness.CallerAddresses(), []caller.Kind{crashing}, caller.WithSeed(*seed))
	f.load(func() {
		for range 30 {
			crashCaller.Send(crashing)
			time.Sleep(second / 10)
		}
	})
	crashed := 0
	for _, vm := range f.harness.VMs() {
		if vm.Backend.HasEnded() {
			crashed++
		}
	}
	t.Logf("%d of %d backend servers crashed", crashed, servers)
	f.is.True(crashed >= 1)
	f.is.True(crashed <= maxCrashes)
	f.check()
}
