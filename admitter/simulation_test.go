package admitter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
)

// kind is a class of requests in the simulation; the mix is that of Gyeonggi and Kigali.
type kind struct {
	name   fleet.RequestKind
	share  float64
	weight int
	mean   time.Duration
}

var mix = []kind{
	{"lookup", 0.70, 1, 4 * time.Millisecond},
	{"refund", 0.15, 5, 8 * time.Millisecond},
	{"photo", 0.15, 3, 40 * time.Millisecond},
}

// callerTimeout is how long callers wait for an answer.
const callerTimeout = 400 * time.Millisecond

// policy assigns the slots to requests.
type policy interface {
	Arrive(admitter.Request, time.Time) []admitter.Decision
	Done(admitter.ID, fleet.RequestKind, time.Duration, time.Time) []admitter.Decision
}

// event is an arrival or the end of a run in virtual time.
type event struct {
	at  time.Time
	id  admitter.ID
	end bool
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation offers a load to one backend server with 4 slots in virtual time.
type simulation struct {
	random   *rand.Rand
	policy   policy
	events   events
	requests []admitter.Request
	kinds    []kind
	started  map[admitter.ID]time.Time
	// value is the weight answered in time in each second; served and sent count the
	// requests of each organisation.
	value  map[int64]int
	served map[fleet.Organisation]int
	sent   map[fleet.Organisation]int
}

const slots = 4

// capacity is the mix's requests per second that fill all slots.
func capacity() float64 {
	var mean time.Duration
	for _, k := range mix {
		mean += time.Duration(k.share * float64(k.mean))
	}
	return slots / mean.Seconds()
}

// simulate runs the policy for as many seconds as there are loads, in multiples of the
// capacity, and returns the finished simulation.
func simulate(p policy, seed uint64, organisation func(*rand.Rand) fleet.Organisation, loads ...float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), policy: p,
		started: map[admitter.ID]time.Time{}, value: map[int64]int{},
		served: map[fleet.Organisation]int{}, sent: map[fleet.Organisation]int{},
	}
	for second, load := range loads {
		at := time.Unix(int64(second), 0)
		for {
			at = at.Add(time.Duration(s.random.ExpFloat64() / (load * capacity()) * float64(time.Second)))
			if at.Unix() > int64(second) {
				break
			}
			s.schedule(at, organisation(s.random))
		}
	}
	heap.Init(&s.events)
	for len(s.events) > 0 {
		s.step(heap.Pop(&s.events).(event))
	}
	return s
}

func (s *simulation) schedule(at time.Time, organisation fleet.Organisation) {
	k := mix[len(mix)-1]
	remaining := s.random.Float64()
	for _, candidate := range mix {
		if remaining -= candidate.share; remaining < 0 {
			k = candidate
			break
		}
	}
	id := admitter.ID(len(s.requests))
	s.kinds = append(s.kinds, k)
	s.sent[organisation]++
	s.requests = append(s.requests, admitter.Request{
		ID: id, Kind: k.name, Weight: k.weight, Organisation: organisation, Deadline: at.Add(callerTimeout),
	})
	s.events = append(s.events, event{at: at, id: id})
}

func (s *simulation) step(o event) {
	if !o.end {
		s.apply(s.policy.Arrive(s.requests[o.id], o.at), o.at)
		return
	}
	r := s.requests[o.id]
	if !o.at.After(r.Deadline) {
		s.value[o.at.Unix()] += r.Weight
		s.served[r.Organisation]++
	}
	s.apply(s.policy.Done(o.id, r.Kind, o.at.Sub(s.started[o.id]), o.at), o.at)
}

func (s *simulation) apply(decisions []admitter.Decision, now time.Time) {
	for _, d := range decisions {
		if d.Action != admitter.Run {
			continue
		}
		s.started[d.ID] = now
		took := time.Duration(s.random.ExpFloat64() * float64(s.kinds[d.ID].mean))
		heap.Push(&s.events, event{at: now.Add(took), id: d.ID, end: true})
	}
}

// mean returns the value answered per second between two seconds.
func (s *simulation) mean(from, to int64) float64 {
	total := 0
	for second := from; second < to; second++ {
		total += s.value[second]
	}
	return float64(total) / float64(to-from)
}

// fifo is an unbounded first-in, first-out queue: the baseline.
type fifo struct {
	running int
	waiting []admitter.Request
}

func (f *fifo) Arrive(r admitter.Request, _ time.Time) []admitter.Decision {
	f.waiting = append(f.waiting, r)
	return f.fill()
}

func (f *fifo) Done(admitter.ID, fleet.RequestKind, time.Duration, time.Time) []admitter.Decision {
	f.running--
	return f.fill()
}

func (f *fifo) fill() []admitter.Decision {
	var decisions []admitter.Decision
	for f.running < slots && len(f.waiting) > 0 {
		f.running++
		decisions = append(decisions, admitter.Decision{ID: f.waiting[0].ID, Action: admitter.Run})
		f.waiting = f.waiting[1:]
	}
	return decisions
}

func oneOfTen(r *rand.Rand) fleet.Organisation {
	return fleet.Organisation(fmt.Sprint("organisation", r.IntN(10)))
}

func seconds(load float64, n int) []float64 {
	loads := make([]float64, n)
	for i := range loads {
		loads[i] = load
	}
	return loads
}
