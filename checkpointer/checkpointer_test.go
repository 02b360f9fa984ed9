package checkpointer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/checkpointer"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/reducer"
	"cowsliptally.example/cowsliptally/replicator"
)

// failing is a Replicator whose log service refuses appends.
type failing struct {
	state   reducer.State
	appends int
}

func (f *failing) State() reducer.State      { return f.state }
func (f *failing) Ready() bool               { return true }
func (f *failing) Status() replicator.Status { return replicator.StatusUp }

func (f *failing) Window() replicator.Window {
	return replicator.Window{Next: f.state.NextOffset()}
}

func (f *failing) Append(context.Context, *cowsliptallyv1.Record) error {
	f.appends++
	return errors.New("log service is full")
}

// events is a Recorder.
type events []fleet.Event

func (e *events) Record(event fleet.Event) { *e = append(*e, event) }

// TestFailedAppendIsRecorded guards against a fleet whose checkpoints fail unnoticed.
func TestFailedAppendIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var recorded events
		f := &failing{state: stateWithJoin()}
		members := func() []fleet.Member { return []fleet.Member{{ID: "n1", State: fleet.MemberAlive}} }
		c := checkpointer.New("n1", f, members,
			checkpointer.WithMaxInterval(time.Minute), checkpointer.WithRecorder(&recorded))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute+time.Second)
		defer cancel()
		is.True(c.Run(ctx) != nil)
		is.True(f.appends > 0)
		is.Equal(len(recorded), f.appends)
		is.Equal(recorded[0].Kind, fleet.EventSkipped)
		is.Equal(recorded[0].Reason, "log service is full")
	})
}

// stateWithJoin returns a state to which one record was applied.
func stateWithJoin() reducer.State {
	join := &cowsliptallyv1.Join{Backend: &cowsliptallyv1.BackendServer{Id: "b1", Service: "ledger"}}
	state, _ := reducer.State{}.Apply(0, &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: join}})
	return state
}
