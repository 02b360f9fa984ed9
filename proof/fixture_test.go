package proof

import (
	"context"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/checker"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/sampler"
	"cowsliptally.example/cowsliptally/standin/backend/server"
	"cowsliptally.example/cowsliptally/translator"
)

const (
	service      fleet.ServiceName = "ledger"
	servers                        = 5
	floorSlots                     = 8
	rate                           = 300
	readyTimeout                   = 30 * time.Second
	settleTime                     = time.Second
	endTimeout                     = 20 * time.Second
	// work keeps about two requests in the slots of each backend server, so that
	// some are in flight when a fault occurs.
	work = 30 * time.Millisecond
)

var (
	history = caller.Kind{Name: "history", Method: http.MethodGet, Path: "/history", Share: 1, Work: work, Idempotent: true, AnswerSize: 4 << 10, Timeout: time.Second}
	refund  = caller.Kind{Name: "refund", Method: http.MethodPost, Path: "/refunds", Share: 1, Work: work, Size: 256, Timeout: time.Second}
	zones   = []fleet.Zone{"suwon", "yongin", "hwaseong"}
)

// fixture is a fleet of one service under load.
type fixture struct {
	t       *testing.T
	is      *is.I
	harness *harness.Harness
	caller  *caller.Caller
	// directory has the logs of the processes.
	directory string
	began     time.Time
	sampler   *sampler.Sampler

	mu sync.Mutex
	// excused are the nodes that were killed or frozen, with the times.
	excused []checker.Option
}

// start starts a fleet and configures it.
func start(t *testing.T, options ...harness.Option) *fixture {
	t.Helper()
	is := is.New(t)
	directory := t.TempDir()
	h, err := harness.New(binaries, directory, options...)
	is.NoErr(err)
	f := &fixture{t: t, is: is, harness: h, directory: directory, began: time.Now()}
	stopSampling := f.sample()
	t.Cleanup(func() {
		if err := h.Stop(); err != nil {
			t.Error(err)
		}
		stopSampling()
		if t.Failed() {
			t.Logf("processor time in the whole test:%s", f.usage(f.began, time.Now()))
			keepLogs(t, directory)
		}
	})
	is.NoErr(h.StartLog())
	for i := range servers {
		_, err := h.StartVM(service, zones[i%len(zones)])
		is.NoErr(err)
	}
	f.configure()
	is.NoErr(h.AwaitReady(1, servers, readyTimeout))
	f.caller = caller.New(h.CallerAddresses(), []caller.Kind{history, refund}, caller.WithSeed(*seed))
	t.Logf("seed %d", *seed)
	return f
}

func (f *fixture) vm(i int) *harness.VM { return f.harness.VMs()[i] }

// configure creates the service with its routes.
func (f *fixture) configure() {
	f.t.Helper()
	err := f.harness.Await("the configuration is accepted", readyTimeout, func() bool {
		decision, err := f.harness.Propose(context.Background(), f.vm(0), f.putService(floorSlots), putRoute(history), putRoute(refund))
		return err == nil && decision.GetRefusal() == ""
	})
	f.is.NoErr(err)
}

func (f *fixture) putService(floor int) *cowsliptallyv1.Change {
	created := fleet.Service{Name: service, MinHealthySlots: floor, Rule: fleet.NewRule(fleet.LeanDetect)}
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutService{PutService: translator.ServiceToMessage(created)}}
}

func putRoute(kind caller.Kind) *cowsliptallyv1.Change {
	route := fleet.Route{
		Name: string(kind.Name), Service: service, Method: kind.Method, PathPrefix: kind.Path,
		Kind: kind.Name, Weight: 1, Idempotent: kind.Idempotent, Timeout: kind.Timeout,
	}
	return &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutRoute{PutRoute: translator.RouteToMessage(route)}}
}

// load sends requests while the steps run, then waits for those in flight
// and for settleTime.
func (f *fixture) load(steps func()) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		f.caller.Run(ctx, rate)
	}()
	steps()
	cancel()
	<-loaded
	time.Sleep(settleTime)
}

// faults sets the faults of a VM's backend server.
func (f *fixture) faults(vm *harness.VM, faults server.Faults) {
	f.t.Helper()
	f.is.NoErr(f.harness.SetFaults(vm, faults))
}

// killVM kills a VM without notice.
func (f *fixture) killVM(vm *harness.VM) {
	vm.Kill()
	f.excuse(checker.WithKilled(vm.CallerAddress, time.Now()))
}

// freeze freezes a node for a duration.
func (f *fixture) freeze(vm *harness.VM, duration time.Duration) {
	from := time.Now()
	vm.Node.Freeze()
	time.Sleep(duration)
	vm.Node.Thaw()
	f.excuse(checker.WithFrozen(vm.CallerAddress, from, time.Now()))
}

func (f *fixture) excuse(option checker.Option) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excused = append(f.excused, option)
}

// check stops the fleet and fails the test for each violated guarantee.
func (f *fixture) check() checker.Report {
	f.t.Helper()
	f.is.NoErr(f.harness.Stop())
	entries, err := f.harness.LedgerEntries()
	f.is.NoErr(err)
	report := checker.New(f.excused...).Check(f.caller.Records(), entries)
	f.t.Log(report)
	f.logReadLate(f.caller.Records())
	for _, reason := range f.caller.FailureSummary() {
		f.t.Log(reason)
	}
	f.reportFindings(report, f.caller.Records())
	f.is.True(report.Answered > report.Sent/2) // most requests are answered in spite of the faults
	return report
}

// keepLogs copies the logs of a failed test to COWSLIPTALLY_PROOF_KEEP if it is set.
func keepLogs(t *testing.T, directory string) {
	target := os.Getenv("COWSLIPTALLY_PROOF_KEEP")
	if target == "" {
		return
	}
	if err := os.CopyFS(target+"/"+t.Name(), os.DirFS(directory)); err != nil {
		t.Log(err)
	}
}
