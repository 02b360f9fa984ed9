package admitter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cowsliptally.example/cowsliptally/admitter"
	"cowsliptally.example/cowsliptally/fleet"
)

// kind is a class of requests of the simulation; Gyeonggi's and Kigali's mix.
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

// patience is how long callers wait.
const patience = 400 * time.Millisecond

// policy is what stands between callers and slots.
type policy interface {
	Arrive(admitter.Request, time.Time) []admitter.Decision
	Done(admitter.ID, fleet.RequestKind, time.Duration, time.Time) []admitter.Decision
}

// occurrence is an arrival or the end of a run in virtual time.
type occurrence struct {
	at  time.Time
	id  admitter.ID
	end bool
}

type agenda []occurrence

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation offers a load to one backend server with 4 slots in virtual time.
type simulation struct {
	random   *rand.Rand
	policy   policy
	agenda   agenda
	requests []admitter.Request
	kinds    []kind
	started  map[admitter.ID]time.Time
	// worth is the weight answered in time in each second, runs what each organisation got answered.
	worth  map[int64]int
	served map[fleet.Organisation]int
	asked  map[fleet.Organisation]int
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
// capacity, and returns the worth answered in each second.
func simulate(p policy, seed uint64, organisation func(*rand.Rand) fleet.Organisation, loads ...float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), policy: p,
		started: map[admitter.ID]time.Time{}, worth: map[int64]int{},
		served: map[fleet.Organisation]int{}, asked: map[fleet.Organisation]int{},
	}
	for second, load := range loads {
		at := time.Unix(int64(second), 0)
		for {
			at = at.Add(time.Duration(s.random.ExpFloat64() / (load * capacity()) * float64(time.Second)))
			if at.Unix() > int64(second) {
				break
			}
			s.plan(at, organisation(s.random))
		}
	}
	heap.Init(&s.agenda)
	for len(s.agenda) > 0 {
		s.step(heap.Pop(&s.agenda).(occurrence))
	}
	return s
}

func (s *simulation) plan(at time.Time, organisation fleet.Organisation) {
	k := mix[len(mix)-1]
	left := s.random.Float64()
	for _, candidate := range mix {
		if left -= candidate.share; left < 0 {
			k = candidate
			break
		}
	}
	id := admitter.ID(len(s.requests))
	s.kinds = append(s.kinds, k)
	s.asked[organisation]++
	s.requests = append(s.requests, admitter.Request{
		ID: id, Kind: k.name, Weight: k.weight, Organisation: organisation, Deadline: at.Add(patience),
	})
	s.agenda = append(s.agenda, occurrence{at: at, id: id})
}

func (s *simulation) step(o occurrence) {
	if !o.end {
		s.apply(s.policy.Arrive(s.requests[o.id], o.at), o.at)
		return
	}
	r := s.requests[o.id]
	if !o.at.After(r.Deadline) {
		s.worth[o.at.Unix()] += r.Weight
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
		heap.Push(&s.agenda, occurrence{at: now.Add(took), id: d.ID, end: true})
	}
}

// mean returns the worth a second between two seconds.
func (s *simulation) mean(from, to int64) float64 {
	total := 0
	for second := from; second < to; second++ {
		total += s.worth[second]
	}
	return float64(total) / float64(to-from)
}

// arrivals is a queue without bound, first come first served: the baseline.
type arrivals struct {
	running int
	waiting []admitter.Request
}

func (a *arrivals) Arrive(r admitter.Request, _ time.Time) []admitter.Decision {
	a.waiting = append(a.waiting, r)
	return a.fill()
}

func (a *arrivals) Done(admitter.ID, fleet.RequestKind, time.Duration, time.Time) []admitter.Decision {
	a.running--
	return a.fill()
}

func (a *arrivals) fill() []admitter.Decision {
	var decisions []admitter.Decision
	for a.running < slots && len(a.waiting) > 0 {
		a.running++
		decisions = append(decisions, admitter.Decision{ID: a.waiting[0].ID, Action: admitter.Run})
		a.waiting = a.waiting[1:]
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
