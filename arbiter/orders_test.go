package arbiter_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"cowsliptally.example/cowsliptally/arbiter"
)

const (
	// progressTimeout is the time between two decisions about an attempt.
	progressTimeout = 350 * time.Millisecond
	// ownerLast, ingressLast and handBackAt are when a node that was told to stop ends work of other nodes, answers its
	// callers itself, and hands work back to ingresses that do not find another owner themselves.
	ownerLast, ingressLast, handBackAt = 5900 * time.Millisecond, 5800 * time.Millisecond, 5100 * time.Millisecond
	// lastSixth is the part of a grace period of 6 s in which an ingress may answer its callers itself.
	lastSixth = 5 * time.Second
	// never is later than everything else.
	never    = time.Hour
	deadline = 9 * time.Second
)

// order is when each event of a request comes, counted from its dispatch.
type order struct {
	ingressSignal, ownerSignal     time.Duration
	answer, silence, restored, cut time.Duration
	slotFree                       time.Duration
	handsBack, repeatable          bool
	// freshPath is set if new connections work while the one of the attempt is silent.
	freshPath bool
	// breaks is when the connection ends although the owner lives, and dropped when the membership holds its node for
	// dead; zero for never.
	breaks, dropped time.Duration
}

// breaksAt returns when the connection ends although the owner lives.
func (o order) breaksAt() time.Duration { return cmp.Or(o.breaks, never) }

// isDropped reports whether the membership holds the owner's node for dead.
func (o order) isDropped(at time.Duration) bool { return at >= cmp.Or(o.dropped, never) }

// ownerEnd returns when the owner's process ends.
func (o order) ownerEnd() time.Duration { return min(o.ownerSignal+ownerLast, o.cut) }

// isSilent reports whether nothing passes between the ingress and the owner.
func (o order) isSilent(at time.Duration) bool { return at >= o.silence && at < o.restored }

// arrival returns when the ingress gets what the owner sends at a time.
func (o order) arrival(sent time.Duration) time.Duration {
	if o.isSilent(sent) {
		return o.restored
	}
	return sent
}

// isAtWork reports whether the first backend server works on the request.
func (o order) isAtWork(at time.Duration) bool {
	handBack := never
	if o.handsBack && o.repeatable {
		handBack = o.ownerSignal + handBackAt
	}
	return at < min(o.answer, o.ownerEnd(), o.breaksAt(), handBack)
}

// told is what the caller gets, and when.
type told struct {
	at   time.Duration
	what string
}

const (
	answered = "answered"
	moved    = "moved to a reserved slot"
	searched = "searched until a slot was free"
	ended    = "answered by the ingress"
)

// play returns what becomes of a request whose attempt the arbiter decides about.
func (o order) play() told {
	attempt := arbiter.New(start, start.Add(deadline))
	if o.repeatable {
		attempt = attempt.WithRepeatable(false)
	}
	last := min(deadline, o.ingressSignal+ingressLast)
	attempt = attempt.WithDeadline(start.Add(last))
	timeouts := 0
	for now := progressTimeout; ; now += progressTimeout {
		if event, ending := o.end(); min(event, last) <= now {
			switch {
			case last <= event:
				return told{last, ended}
			case ending == arbiter.Running:
				return told{event, answered}
			}
			return o.afterEnd(attempt.WithEnding(ending), event, last)
		}
		at := start.Add(now)
		if o.isSilent(now) || now >= o.ownerEnd() {
			timeouts++
			attempt = attempt.WithSilence(timeouts)
		} else {
			timeouts = 0
			attempt = attempt.WithProgress(at).WithNewSearch()
			if now >= o.ownerSignal {
				attempt = attempt.WithNodeEnd(start.Add(o.ownerSignal + ownerLast))
			}
		}
		for waits := false; !waits; {
			switch attempt.Next(at) {
			case arbiter.Ask:
				attempt = attempt.WithAnswer(o.ask(now), at)
			case arbiter.Reserve:
				attempt = attempt.WithSearch(o.reserve(now), at)
			case arbiter.Move:
				return told{now, moved}
			case arbiter.Drop:
				return told{now, ended}
			default:
				waits = true
			}
		}
	}
}

// end returns when the exchange ends, and how: arbiter.Running with an answer.
func (o order) end() (time.Duration, arbiter.Ending) {
	handBack := never
	if o.handsBack && o.repeatable {
		handBack = o.ownerSignal + handBackAt
	}
	switch first := min(o.answer, handBack, o.ownerEnd(), o.breaksAt()); {
	case first >= never:
		return never, arbiter.Failed
	case first == o.answer:
		return o.arrival(first), arbiter.Running
	case first == o.cut, first == o.breaksAt():
		return o.arrival(first), arbiter.Failed
	default:
		return o.arrival(first), arbiter.NodeEnded
	}
}

// afterEnd returns what becomes of a request whose attempt ended without an answer.
func (o order) afterEnd(attempt arbiter.Attempt, now, last time.Duration) told {
	switch attempt.Next(start.Add(now)) {
	case arbiter.Move:
		return told{now, moved}
	case arbiter.Search:
		if o.slotFree < last {
			return told{max(now, o.slotFree), searched}
		}
		return told{last, ended}
	default:
		return told{now, ended}
	}
}

func (o order) ask(now time.Duration) arbiter.Answer {
	switch {
	case o.isDropped(now):
		return arbiter.Gone
	case !o.freshPath:
		return arbiter.Unreachable
	case now >= o.ownerEnd():
		return arbiter.Ended
	default:
		return arbiter.NotSealed
	}
}

// isGivenUpByTCP reports whether an answer that has not arrived by a time would have, if the path were back:
// a refused port has told that the owner's process has ended.
func (o order) isGivenUpByTCP(now time.Duration) bool {
	refused := max(o.ownerEnd(), o.silence)
	return o.freshPath && o.isSilent(now) && now >= refused+max(time.Second, refused-o.silence)
}

func (o order) reserve(now time.Duration) arbiter.SlotSearch {
	if now < o.slotFree {
		return arbiter.NoSlot
	}
	return arbiter.SlotReserved
}

// broken returns what is wrong with the end of a request; nothing if it is right.
func (o order) broken(end told) string {
	last := min(deadline, o.ingressSignal+ingressLast)
	event, ending := o.end()
	switch {
	case end.what == moved && !o.repeatable:
		return "a request that must run once ran twice"
	case end.what != ended:
		return ""
	case o.isGivenUpByTCP(end.at), o.isDropped(end.at) && o.isSilent(end.at):
		return ""
	case end.at >= min(deadline, o.ingressSignal+lastSixth):
		if event < last && ending == arbiter.Running {
			return "an answer in time was not delivered"
		}
		return ""
	case o.isAtWork(end.at):
		return "given up while its backend server was at work"
	case ending == arbiter.Running && event < last:
		return "an answer in time was not delivered"
	case ending == arbiter.NodeEnded && o.repeatable:
		return "given up at a planned end with time left"
	default:
		return ""
	}
}

// TestNoOrderOfEventsEndsARequestAtWork guards against an answer of the ingress's own while a backend server
// is at work, in any order of the events that can end a request.
func TestNoOrderOfEventsEndsARequestAtWork(t *testing.T) {
	times := []time.Duration{100, 900, 2100, 3700, 5300, 8500, never}
	p := orderPlay{t: t, counts: map[string]int{}}
	p.play([]time.Duration{-5700, -4600, -3100, 200, 1600, 3300, never}, times, times, []time.Duration{0}, []time.Duration{0})
	p.log()
}

// TestNoLostConnectionOrNodeEndsARequestAtWork guards against the same where the connection breaks although the owner
// lives, or the membership drops its node: only a silent one is given up on its word.
func TestNoLostConnectionOrNodeEndsARequestAtWork(t *testing.T) {
	events := []time.Duration{0, 1000, 4000, 6500}
	p := orderPlay{t: t, counts: map[string]int{}}
	p.play([]time.Duration{-3100, 1600, never}, []time.Duration{900, 3700, never}, []time.Duration{100, 3700, never}, events, events)
	p.log()
}

// orderPlay plays orders of events.
type orderPlay struct {
	t                *testing.T
	orders, failures int
	counts           map[string]int
}

// play plays all orders with these times of signals, ends and silences, and of breaks and drops.
func (p *orderPlay) play(signals, ends, silences, breaks, drops []time.Duration) {
	for _, ingressSignal := range signals {
		for _, ownerSignal := range signals {
			for _, answer := range ends {
				for _, cut := range ends {
					for _, silence := range silences {
						for _, restored := range silences {
							if restored <= silence {
								continue
							}
							for _, slotFree := range ends {
								for _, broken := range breaks {
									for _, dropped := range drops {
										for flags := range 8 {
											p.playOne(order{
												ingressSignal: scale(ingressSignal), ownerSignal: scale(ownerSignal), answer: scale(answer) + 1, cut: scale(cut) + 2,
												silence: scale(silence) + 3, restored: scale(restored) + 4, slotFree: scale(slotFree),
												breaks: scale(broken), dropped: scale(dropped),
												handsBack: flags&1 != 0, repeatable: flags&2 != 0, freshPath: flags&4 != 0,
											})
										}
									}
								}
							}
						}
					}
				}
			}
		}
	}
}

func (p *orderPlay) playOne(o order) {
	end := o.play()
	p.orders++
	p.counts[end.what]++
	if fault := o.broken(end); fault != "" && p.failures < 10 {
		p.failures++
		p.t.Errorf("%s: %+v: %+v", fault, o, end)
	}
}

func (p *orderPlay) log() { p.t.Log(p.orders, "orders:", fmt.Sprint(p.counts)) }

// scale returns a time in milliseconds.
func scale(t time.Duration) time.Duration {
	if t == never {
		return never
	}
	return t * time.Millisecond
}
