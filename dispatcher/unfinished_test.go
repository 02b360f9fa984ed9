package dispatcher_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// names returns the names of an event's figures and the values of those that are no times.
func names(e fleet.Event) string {
	var parts []string
	for _, f := range e.Figures {
		if f.Unit == "ms" {
			parts = append(parts, f.Name)
			continue
		}
		parts = append(parts, fmt.Sprint(f.Name, "=", f.Value))
	}
	return strings.Join(parts, " ")
}

// TestAttemptsAtWorkAreLoggedWhenTheirNodeEnds guards against a node that ends under requests at work
// and leaves no trace of which they were.
func TestAttemptsAtWorkAreLoggedWhenTheirNodeEnds(t *testing.T) {
	const maxLines = 32
	for count, expected := range map[int]int{0: 0, 3: 3, maxLines + 8: maxLines} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			l, recorded := newLocal(t), &events{}
			l.backend.Slots = maxLines + 8
			d := dispatcher.New("node", l, dispatcher.WithRecorder(recorded))
			defer d.Close()
			ticket := send(d, "t", "1", "", "true").Header().Get(fleet.HeaderTicket)
			l.release = make(chan struct{})
			var sends sync.WaitGroup
			for i := range count {
				sends.Go(func() { send(d, fmt.Sprint("r", i), "2", ticket, "true") })
				waitFor(t, func() bool { return l.runs() == i+1 })
			}
			d.Stop(time.Now().Add(time.Minute), time.Now().Add(time.Minute))
			d.RecordUnfinished()
			close(l.release)
			sends.Wait()
			is.Equal(len(recorded.all), expected)
			for i, e := range recorded.all {
				is.Equal(e.Kind, fleet.EventAttempt)
				is.Equal(e.Subject, fmt.Sprint("r", i)) // the longest first
				is.Equal(e.Reason, "unfinished")
				is.Equal(e.Detail, "at backend")
				is.Equal(names(e), "attempt=2 took stopping repeatable=1")
			}
		})
	}
}

// TestHandBackTellsForHowLongItsNodeStops guards against logs that don't tell a hand-back late in a stop
// from one at its beginning.
func TestHandBackTellsForHowLongItsNodeStops(t *testing.T) {
	is := is.New(t)
	l, recorded := newLocal(t), &events{}
	d := dispatcher.New("node", l, dispatcher.WithRecorder(recorded))
	defer d.Close()
	ticket := send(d, "t", "1", "", "true").Header().Get(fleet.HeaderTicket)
	l.release = make(chan struct{})
	var sends sync.WaitGroup
	sends.Go(func() { is.Equal(outcome(send(d, "r", "1", ticket, "true")), "unknown stopped") })
	waitFor(t, func() bool { return l.runs() == 1 })
	end := time.Now().Add(200 * time.Millisecond)
	d.Stop(end, end)
	time.Sleep(20 * time.Millisecond)
	d.HandBack(end)
	sends.Wait()
	close(l.release)
	is.Equal(len(recorded.all), 1)
	is.Equal(recorded.all[0].Reason, string(fleet.ReasonStopped))
	is.Equal(names(recorded.all[0]), "attempt=1 took failing=0 stopping")
	for _, f := range recorded.all[0].Figures {
		if f.Name == "stopping" {
			is.True(f.Value >= 20)
			is.True(f.Value < 5000)
		}
	}
}
