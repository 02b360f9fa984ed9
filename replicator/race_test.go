package replicator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/standin/logservice/server"
)

type kind string

const (
	accepted kind = "accepted"
	refused  kind = "refused"
	nothing  kind = "nothing"
	unknown  kind = "unknown"
	read     kind = "read"
)

// call is one client's call; base is math.MaxUint64 for a read.
type call struct{ base uint64 }

type result struct {
	kind     kind
	revision uint64
}

// register is a compare-and-set register of the current revision.
func register() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, input, output any) []any {
			current, in, out := state.(uint64), input.(call), output.(result)
			same, next := []any{current}, []any{current + 1}
			switch {
			case out.kind == read && out.revision == current,
				out.kind == refused && in.base != current,
				out.kind == nothing:
				return same
			case out.kind == accepted && in.base == current && out.revision == current+1:
				return next
			case out.kind == unknown && in.base == current:
				return []any{current, current + 1}
			case out.kind == unknown:
				return same
			}
			return nil
		},
	}
	return model.ToModel()
}

// runClient runs one client, which repeatedly reads the newest revision and
// proposes a change of it.
func runClient(t *testing.T, n *node, client int, random *rand.Rand, record func(porcupine.Operation)) {
	for step := range 20 {
		base := revision(n)
		if random.IntN(8) == 0 {
			base++
		}
		begin := time.Now().UnixNano()
		operation := porcupine.Operation{ClientId: client, Input: call{base: base}, Call: begin}
		id := fmt.Sprintf("c%d-%d", client, step)
		outcome, err := n.Propose(t.Context(), floorProposal(id, base, uint32(step)))
		operation.Return = time.Now().UnixNano()
		switch {
		case err == nil && outcome.GetRefusal() == "":
			operation.Output = result{kind: accepted, revision: outcome.GetRevision()}
		case err == nil:
			operation.Output = result{kind: refused}
		case replicator.KindOf(err) == replicator.KindUnknown:
			operation.Output, operation.Return = result{kind: unknown}, math.MaxInt64
		default:
			operation.Output = result{kind: nothing}
		}
		record(operation)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		begin = time.Now().UnixNano()
		if n.Sync(t.Context()) == nil {
			record(porcupine.Operation{ClientId: client, Input: call{base: math.MaxUint64}, Call: begin, Output: result{kind: read, revision: revision(n)}, Return: time.Now().UnixNano()})
		}
	}
}

func TestConcurrentProposalsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		inBubble(t, 4, func(t *testing.T, f *nodes) {
			for _, n := range f.list() {
				n.stop()
			}
			f.readbackTimeout = 400 * time.Millisecond
			for i := range 4 {
				f.start(fmt.Sprint("node", i))
			}
			time.Sleep(time.Second)
			var mu sync.Mutex
			var history []porcupine.Operation
			record := func(o porcupine.Operation) {
				mu.Lock()
				defer mu.Unlock()
				history = append(history, o)
			}
			var clients sync.WaitGroup
			for i, n := range f.list() {
				clients.Go(func() { runClient(t, n, i, rand.New(rand.NewPCG(seed, uint64(i))), record) })
			}
			random := rand.New(rand.NewPCG(seed, math.MaxUint64))
			for range 40 {
				n := f.list()[random.IntN(4)]
				n.logClient.LoseResponses(random.IntN(2))
				n.logClient.SetDisconnected(random.IntN(6) == 0)
				f.logs.SetFaults(server.Faults{Down: random.IntN(20) == 0, Slow: random.IntN(300)})
				time.Sleep(300 * time.Millisecond)
				n.logClient.SetDisconnected(false)
			}
			for _, n := range f.list() {
				n.logClient.SetDisconnected(false)
			}
			f.logs.SetFaults(server.Faults{})
			clients.Wait()
			counts := map[kind]int{}
			for _, o := range history {
				counts[o.Output.(result).kind]++
			}
			t.Logf("seed %d: %v", seed, counts)
			if !porcupine.CheckOperations(register(), history) {
				t.Fatalf("seed %d: the history is not linearizable", seed)
			}
		})
	}
}

func TestLostAnswerIsReadBackAndAppliedOnce(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *nodes) {
		a, b := f.list()[0], f.list()[1]
		a.logClient.LoseResponses(1)
		if got := accept(t, a, "lost"); got != 1 {
			t.Fatalf("revision %d, want 1", got)
		}
		outcome, err := b.Propose(t.Context(), floorProposal("lost", 0, 1))
		if err != nil || outcome.GetRevision() != 1 {
			t.Fatalf("repeat: outcome %v, error %v, want revision 1", outcome, err)
		}
		if appends := f.logs.Stats().Appends; appends != 1 {
			t.Fatalf("%d appends, want 1", appends)
		}
	})
}

func TestUnknownOutcomeIsLookedUpByItsIdentifier(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *nodes) {
		a, b := f.list()[0], f.list()[1]
		a.isolated.Store(true)
		f.logs.SetFaults(server.Faults{Slow: 800, Lose: 1})
		go func() {
			// After the append was sent and before it is read back.
			time.Sleep(100 * time.Millisecond)
			a.logClient.SetDisconnected(true)
		}()
		_, err := a.Propose(t.Context(), floorProposal("x", 0, 1))
		if replicator.KindOf(err) != replicator.KindUnknown {
			t.Fatalf("error %v, want one of kind %s", err, replicator.KindUnknown)
		}
		f.logs.SetFaults(server.Faults{})
		outcome, found, err := b.Lookup(t.Context(), "x")
		if err != nil || !found || outcome.GetRevision() != 1 {
			t.Fatalf("lookup: outcome %v, found %t, error %v", outcome, found, err)
		}
	})
}
