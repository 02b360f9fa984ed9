package forwarder_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/forwarder"
	"cowsliptally.example/cowsliptally/retrier"
)

// mortalOwner is an owner that runs requests without an answer until its node ends, is lost or falls silent.
type mortalOwner struct {
	peer   *httptest.Server
	began  atomic.Int32
	silent bool
	// answers is when it answers the request after its node was told to stop; zero if it does not.
	answers time.Duration
	// end is when its node ends once it has told so.
	end atomic.Pointer[time.Time]
	// sealed is called when it is asked for a seal.
	sealed func()
}

func (o *mortalOwner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == dispatcher.OfferPath:
		answerAsOwner(w, q, fleet.ReasonOffered)
	case strings.HasPrefix(q.URL.Path, dispatcher.PathPrefix):
		o.began.Add(1)
		o.run(w, q)
	default:
		o.sealed()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (o *mortalOwner) run(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(fleet.HeaderRequestID, q.Header.Get(fleet.HeaderRequestID))
	for q.Context().Err() == nil {
		if end := o.end.Load(); end != nil {
			left := time.Until(*end)
			switch {
			case o.answers > 0 && left < timeToEnd-o.answers:
				w.Header().Set(fleet.HeaderExecuted, string(fleet.ExecutedYes))
				return
			case left < 0:
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(fleet.HeaderEnds, strconv.FormatInt(left.Milliseconds(), 10))
		}
		if !o.silent {
			w.WriteHeader(http.StatusProcessing)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// timeToEnd is the time from the signal of an owner to its end: a slot is looked for from then on.
const timeToEnd = time.Second

// lossPlay is a request whose first owner falls silent, so that it is given up for the second one, beside which it is hedged at the
// third one. The fourth one has a slot.
type lossPlay struct {
	rig                     *rig
	first, second, third    *mortalOwner
	fourth                  *slow
	full                    atomic.Bool
	whenOffered, whenSealed sync.Once
}

// newLossPlay returns a play. The events of a name happen when the fourth owner is asked for a slot, or the second one for a seal.
func newLossPlay(t *testing.T, offered, sealed string) *lossPlay {
	p := &lossPlay{
		rig:    newTargetedRig(t, forwarder.WithRetrier(retrier.New(retrier.WithBudget(0, 8), retrier.WithAttempts(8)))),
		fourth: &slow{work: 100 * time.Millisecond},
	}
	p.first, p.second, p.third = p.addMortalOwner("a"), p.addMortalOwner("b"), p.addMortalOwner("c")
	p.first.silent = true
	p.second.sealed = func() { p.whenSealed.Do(func() { p.play(sealed) }) }
	fourth := p.rig.addOwner("d", p.fourth)
	p.rig.servePeer(fourth, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if p.full.Load() {
			answerAsOwner(w, q, fleet.ReasonBusy)
			return
		}
		if q.URL.Path == dispatcher.OfferPath {
			p.whenOffered.Do(func() { p.play(offered) })
		}
		peerHandler(fourth.dispatcher).ServeHTTP(w, q)
	}))
	return p
}

func (p *lossPlay) addMortalOwner(name string) *mortalOwner {
	o := &mortalOwner{sealed: func() {}}
	o.peer = httptest.NewServer(o)
	p.rig.addOwner(name, newLedger())
	p.rig.setPeer(fleet.NodeID(name), o.peer)
	return o
}

// play has the events of a name happen, one after another: "silent" has the membership declare the first owner dead, "hedge" ends
// the third one's process, "stop" has the second one tell that its node ends, "end" waits for that end, and "full" and "free" tell
// whether the fourth one has a slot.
func (p *lossPlay) play(events string) {
	for _, event := range strings.Fields(events) {
		switch event {
		case "silent":
			p.rig.mu.Lock()
			p.rig.members["a"] = p.rig.members["a"].WithState(fleet.MemberDead)
			p.rig.mu.Unlock()
		case "hedge":
			_ = p.third.peer.Listener.Close()
			p.third.peer.CloseClientConnections()
		case "stop":
			end := time.Now().Add(timeToEnd)
			p.second.end.Store(&end)
		case "full":
			p.full.Store(true)
		case "free":
			p.full.Store(false)
		case "end":
			time.Sleep(time.Until(*p.second.end.Load()) + 300*time.Millisecond)
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// TestRequestThatLostTwoOwnersGoesToNoThird guards against a request that kills VMs and is sent to a third one, as a slot is reserved
// there: its first owner falls silent and is declared dead later, its hedge dies, and its present owner stops.
func TestRequestThatLostTwoOwnersGoesToNoThird(t *testing.T) {
	const lost, answered = http.StatusBadGateway, http.StatusOK
	for name, tc := range map[string]struct {
		// events happen once the hedge has begun, offered when the fourth owner is asked for a slot, sealed when the second one is
		// asked for a seal.
		events, offered, sealed string
		// answers is how long after its signal the second owner answers; zero if it does not.
		answers time.Duration
		status  int
		// runs is how often the request runs at the fourth owner.
		runs int32
	}{
		"silent, hedge, stop":                 {events: "silent hedge stop", status: lost},
		"silent, stop, hedge":                 {events: "silent stop hedge", status: lost},
		"hedge, silent, stop":                 {events: "hedge silent stop", status: lost},
		"hedge, stop, silent: as it reserves": {events: "hedge stop", offered: "silent", status: lost},
		"hedge, stop, silent: as it moves":    {events: "hedge stop", sealed: "silent", status: lost},
		"stop, silent, hedge":                 {events: "stop silent hedge", status: lost},
		"stop, hedge, silent: as it reserves": {events: "stop hedge", offered: "silent", status: lost},
		"stop, hedge, silent: as it moves":    {events: "stop hedge", sealed: "silent", status: lost},
		"hedge, stop, silent: as it searches": {events: "full hedge stop end silent free", status: lost},
		"stop, hedge, silent: as it searches": {events: "full stop hedge end silent free", status: lost},
		"hedge, stop, silent: at an offer of its search": {
			events: "full hedge stop end free", offered: "silent", status: lost,
		},
		"its owner answers before it ends": {events: "silent hedge stop", answers: 800 * time.Millisecond, status: answered},
		"one is lost":                      {events: "hedge stop", status: answered, runs: 1},
		"one is lost, in the search":       {events: "full hedge stop end free", status: answered, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newLossPlay(t, tc.offered, tc.sealed)
			p.second.answers = tc.answers
			played := make(chan struct{})
			go func() {
				defer close(played)
				waitUntil(t, func() bool { return p.third.began.Load() == 1 })
				p.play(tc.events)
			}()
			status, _, _ := stopIngressUnder(t, p.rig, "GET", "/")
			<-played
			is.Equal(p.fourth.began.Load(), tc.runs)
			is.Equal(status, tc.status)
			is.Equal(p.second.began.Load(), int32(1))
		})
	}
}
