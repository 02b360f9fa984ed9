package proof

import (
	"net/http"
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// maxCrashes is how many backend servers one caller's request may take out.
const maxCrashes = 2

// One request crashes each backend server that runs it; its caller sends it
// again and again through all nodes while others are served.
func TestCrashRequest(t *testing.T) {
	f := start(t)
	for _, vm := range f.harness.VMs() {
		f.faults(vm, server.Faults{Crash: "poison"})
	}
	crashing := caller.Kind{Name: "history", Method: http.MethodGet, Path: "/history/poison", Idempotent: true, Timeout: time.Second}
	poisoner := caller.New(f.harness.CallerAddresses(), []caller.Kind{crashing}, caller.WithSeed(*seed))
	f.load(func() {
		for range 30 {
			poisoner.Send(crashing)
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
