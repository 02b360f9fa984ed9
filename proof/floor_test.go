package proof

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// highFloorSlots allows the ejection of one backend server.
const highFloorSlots = (servers - 1) * 4

// pollPeriod is the time between two queries of the nodes' views.
const pollPeriod = 50 * time.Millisecond

// Two backend servers have a gray failure and the floor allows the ejection of one.
func TestFloor(t *testing.T) {
	f := start(t)
	f.is.NoErr(f.harness.AwaitReady(f.raiseFloor(), servers, readyTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	var watcher sync.WaitGroup
	var ejected atomic.Int64
	watcher.Go(func() {
		for ctx.Err() == nil {
			ejected.Store(max(ejected.Load(), int64(f.checkFloor())))
			time.Sleep(pollPeriod)
		}
	})
	f.load(func() {
		time.Sleep(second)
		for _, vm := range f.harness.VMs()[:2] {
			f.faults(vm, server.Faults{Errors: 0.6, Lie: true})
		}
		f.is.NoErr(f.harness.Await("a backend server is ejected", readyTimeout, func() bool { return ejected.Load() > 0 }))
		time.Sleep(3 * second)
	})
	cancel()
	watcher.Wait()
	t.Logf("at most %d backend servers ejected in one node's view", ejected.Load())
	f.is.True(ejected.Load() > 0) // otherwise nothing was checked
	f.check()
}

// raiseFloor puts the high floor in force at one node and returns its revision. It is refused until the log has told that
// node of enough backend servers, which may be after each node knows all of them.
func (f *fixture) raiseFloor() (revision uint64) {
	f.t.Helper()
	refusal := ""
	err := f.harness.Await("the high floor is accepted", readyTimeout, func() bool {
		decision, err := f.harness.Propose(context.Background(), f.vm(0), f.putService(highFloorSlots))
		if err != nil {
			refusal = err.Error()
			return false
		}
		revision, refusal = decision.GetRevision(), decision.GetRefusal()
		return refusal == ""
	})
	if err != nil {
		f.t.Fatal(err, refusal)
	}
	return revision
}

// checkFloor checks each node's view and returns the highest number of ejected
// backend servers in one of them.
func (f *fixture) checkFloor() int {
	most := 0
	for _, vm := range f.harness.VMs() {
		asked := time.Now()
		status, err := f.harness.Status(vm)
		if err != nil {
			continue
		}
		for _, view := range status.GetServices() {
			ejected := 0
			for _, backend := range view.GetBackends() {
				if backend.GetHealth() == cowsliptallyv1.HealthState_HEALTH_STATE_EJECTED {
					ejected++
				}
			}
			most = max(most, ejected)
			if view.GetHealthySlots() < view.GetMinHealthySlots() {
				f.t.Errorf("%s reports %d healthy slots below the floor of %d, %d ejected, in an answer between %s and %s",
					vm.NodeName(), view.GetHealthySlots(), view.GetMinHealthySlots(), ejected,
					asked.Format(time.StampMicro), time.Now().Format(time.StampMicro))
			}
		}
	}
	return most
}
