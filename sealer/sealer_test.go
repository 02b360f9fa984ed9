package sealer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/sealer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	fmt.Println("rapid seed 7")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.shrinktime", "1s")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// epoch is the time at which every run starts.
var epoch = time.Unix(1_700_000_000, 0)

// network holds attempts that may arrive at the owner at any time, or twice.
type network struct {
	clock      *clockwork.FakeClock
	sealer     *sealer.Sealer
	restarts   int
	ticket     string
	issued     time.Time
	sent       []message
	dispatched map[sealer.Attempt]bool
	sealed     map[sealer.Attempt]bool
	// last is when the current owner last dispatched an attempt of a submission.
	last map[fleet.RequestID]time.Time
}

// message is an attempt with the time at which its ticket was issued.
type message struct {
	sealer.Attempt
	issued time.Time
}

func (n *network) restart() {
	n.restarts++
	n.last = make(map[fleet.RequestID]time.Time)
	node := fleet.NodeID(fmt.Sprint("node", n.restarts))
	n.sealer = sealer.New(node, n.clock, sealer.WithWindow(time.Second), sealer.WithCapacity(4))
}

func (n *network) renew() {
	n.ticket, n.issued = n.sealer.Ticket(), n.clock.Now()
}

// TestSealedNeverRuns checks against plain sets, from which nothing is removed, that a
// sealed attempt is never dispatched, before or after, and that an attempt with Once is
// not dispatched if another attempt of its submission was since its ticket was issued.
func TestSealedNeverRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{clock: clockwork.NewFakeClockAt(epoch), dispatched: map[sealer.Attempt]bool{}, sealed: map[sealer.Attempt]bool{}}
		n.restart()
		n.renew()
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "renew") {
					n.renew()
				}
				n.sent = append(n.sent, message{issued: n.issued, Attempt: sealer.Attempt{
					Request: fleet.RequestID(fmt.Sprint("r", rapid.IntRange(0, 7).Draw(t, "request"))),
					Number:  rapid.IntRange(1, 3).Draw(t, "number"),
					Ticket:  n.ticket,
					Once:    rapid.Bool().Draw(t, "once"),
				}})
			},
			"arrive": func(t *rapid.T) {
				a := n.draw(t)
				if n.sealer.Begin(a.Attempt) != sealer.Begun {
					return
				}
				if n.sealed[a.Attempt] {
					t.Fatalf("attempt %v ran after it was sealed", a)
				}
				last, before := n.last[a.Request]
				if a.Once && before && !last.Before(a.issued) {
					t.Fatalf("submission %s was dispatched twice", a.Request)
				}
				n.dispatched[a.Attempt] = true
				n.last[a.Request] = n.clock.Now()
			},
			"seal": func(t *rapid.T) {
				a := n.draw(t)
				if !n.sealer.Seal(a.Attempt) {
					return
				}
				if n.dispatched[a.Attempt] {
					t.Fatalf("attempt %v was sealed after it ran", a)
				}
				n.sealed[a.Attempt] = true
			},
			"pass": func(t *rapid.T) {
				n.clock.Advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) { n.maybeRestart(t) },
		})
	})
}

func (n *network) draw(t *rapid.T) message {
	if len(n.sent) == 0 {
		t.Skip("nothing was sent")
	}
	return rapid.SampledFrom(n.sent).Draw(t, "attempt")
}

// maybeRestart restarts the owner with a probability of 1 in 10; its state is lost.
func (n *network) maybeRestart(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "die") == 0 {
		n.restart()
	}
}

func TestUndoneAttemptCanBeSealed(t *testing.T) {
	is := is.New(t)
	s := sealer.New("node", clockwork.NewFakeClockAt(epoch))
	a := sealer.Attempt{Request: "r", Number: 1, Ticket: s.Ticket(), Once: true}
	is.Equal(s.Begin(a), sealer.Begun)
	is.Equal(s.Begin(a), sealer.Duplicate)
	is.True(!s.Seal(a))
	s.Undo(a)
	is.True(s.Seal(a))
	is.Equal(s.Begin(a), sealer.Sealed)
	second := a
	second.Number = 2
	is.Equal(s.Begin(second), sealer.Begun)
}

func TestRefusesInvalidAndForeignTickets(t *testing.T) {
	is := is.New(t)
	s := sealer.New("node", clockwork.NewFakeClockAt(epoch))
	for _, ticket := range []string{"", "node.", "node.-1", "other.0", "node.zz9"} {
		is.Equal(s.Begin(sealer.Attempt{Request: "r", Number: 1, Ticket: ticket}), sealer.Stale)
	}
}
