package proof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/harness"
)

const (
	operators = 4
	// proposePause keeps the history short enough for the model checker.
	proposePause = 40 * time.Millisecond
	checkTimeout = 30 * time.Second
)

// outcome is the result of one proposal as reported to its operator.
type outcome struct {
	accepted bool
	// revision is the revision created, or the one in force at a refusal.
	revision uint64
	unknown  bool
}

// registerModel models the configuration's revision as a register with
// compare-and-set.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(1)} },
		Step: func(state, input, output any) []any {
			current, base, got := state.(uint64), input.(uint64), output.(outcome)
			switch {
			case got.unknown && base == current:
				return []any{current, current + 1}
			case got.unknown:
				return []any{current}
			case got.accepted && base == current && got.revision == current+1:
				return []any{current + 1}
			case !got.accepted && base != current && got.revision == current:
				return []any{current}
			default:
				return nil
			}
		},
	}
	return model.ToModel()
}

// proposalRace records concurrent proposals by several operators.
type proposalRace struct {
	fixture *fixture
	began   time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

// propose sends one proposal to a node, based on the revision in force there, and
// records the outcome.
func (r *proposalRace) propose(operator int, vm *harness.VM, floor int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*second)
	defer cancel()
	client := r.fixture.harness.OperatorClient(vm)
	current, err := client.GetConfiguration(ctx, connect.NewRequest(&cowsliptallyv1.GetConfigurationRequest{}))
	if err != nil {
		return
	}
	base := current.Msg.GetConfiguration().GetRevision()
	proposal := &cowsliptallyv1.Proposal{
		Operation: uuid.Must(uuid.NewV7()).String(), BaseRevision: base, Author: fmt.Sprint("operator ", operator),
		Changes: []*cowsliptallyv1.Change{r.fixture.putService(floor)},
	}
	called := time.Since(r.began)
	response, err := client.Propose(ctx, connect.NewRequest(&cowsliptallyv1.ProposeRequest{Proposal: proposal}))
	operation := porcupine.Operation{
		ClientId: operator, Input: base, Call: called.Nanoseconds(), Return: time.Since(r.began).Nanoseconds(),
	}
	reply := response
	if err != nil {
		operation.Output = outcome{unknown: true}
		operation.Return = int64(1) << 62 // it may take effect at any later time
	} else {
		decision := reply.Msg.GetVerdict()
		accepted := decision.GetRefusal() == ""
		revision := decision.GetCurrentRevision()
		if accepted {
			revision = decision.GetRevision()
		}
		operation.Output = outcome{accepted: accepted, revision: revision}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, operation)
}

// watchRevision fails the test if a node's revision in force decreases.
func (r *proposalRace) watchRevision(ctx context.Context, vm *harness.VM) {
	client := r.fixture.harness.OperatorClient(vm)
	highest := uint64(0)
	for ctx.Err() == nil {
		response, err := client.GetConfiguration(ctx, connect.NewRequest(&cowsliptallyv1.GetConfigurationRequest{}))
		if err == nil {
			revision := response.Msg.GetConfiguration().GetRevision()
			if revision < highest {
				r.fixture.t.Errorf("%s went back from revision %d to %d", vm.NodeName(), highest, revision)
			}
			highest = max(highest, revision)
		}
		time.Sleep(second / 50)
	}
}

// Several operators change the same service concurrently through several nodes,
// while the log service loses responses to appends, is slow and is down.
func TestOperatorRaces(t *testing.T) {
	f := start(t)
	r := &proposalRace{fixture: f, began: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	racing, stopRacing := context.WithCancel(ctx)
	var watchers, racers sync.WaitGroup
	for _, vm := range f.harness.VMs() {
		watchers.Go(func() { r.watchRevision(ctx, vm) })
	}
	for operator := range operators {
		racers.Go(func() {
			for i := 0; racing.Err() == nil; i++ {
				r.propose(operator, f.vm((operator+i)%servers), 4+(operator+i)%8)
				time.Sleep(proposePause)
			}
		})
	}
	for _, faults := range []harness.LogFaults{{Lose: 3}, {Slow: 200}, {Down: true}, {Lose: 2}, {}} {
		f.is.NoErr(f.harness.SetLogFaults(faults))
		time.Sleep(second / 2)
	}
	stopRacing()
	racers.Wait()
	f.is.NoErr(f.awaitSameRevision())
	cancel()
	watchers.Wait()
	accepted, unknown := 0, 0
	for _, operation := range r.history {
		if got := operation.Output.(outcome); got.unknown {
			unknown++
		} else if got.accepted {
			accepted++
		}
	}
	t.Logf("%d proposals, %d accepted, %d unknown", len(r.history), accepted, unknown)
	f.is.True(accepted > 0)
	result, _ := porcupine.CheckOperationsVerbose(registerModel(), r.history, checkTimeout)
	f.is.Equal(result, porcupine.Ok)
	f.caller.Send(history)
	f.check()
}

// awaitSameRevision waits until all nodes have the same revision in force.
func (f *fixture) awaitSameRevision() error {
	return f.harness.Await("all nodes have the same revision", readyTimeout, func() bool {
		revisions := map[uint64]bool{}
		for _, vm := range f.harness.VMs() {
			status, err := f.harness.Status(vm)
			if err != nil {
				return false
			}
			revisions[status.GetRevision()] = true
		}
		return len(revisions) == 1
	})
}
