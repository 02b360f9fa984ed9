// Package splitter chooses the service of each request of a route that splits its traffic.
// It does no I/O.
//
// It addresses splits whose requests arrive at many nodes, few at each: a random choice
// misses the weights by a tenth in a few hundred requests too often, and a round robin
// follows patterns in the order of requests and gives a node's first requests to the first
// share. Each route has a low-discrepancy sequence, the multiples of the golden ratio modulo
// one, that begins at a random point in each node. Any run of consecutive choices follows
// any weights to within about one request, also every second or third choice, so a change of
// weights needs no new sequence.
package splitter

import (
	"math/bits"
	"math/rand/v2"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// step is the golden ratio modulo one, as a fraction of 2^64.
	step = 0x9E3779B97F4A7C15
	// capacity bounds the routes with a sequence. A route beyond it begins a new one.
	capacity = 8192
)

// Splitter chooses services by the weights of splits. It is safe for concurrent use.
type Splitter struct {
	random func() uint64

	mu sync.Mutex
	// points holds the last point of each route's sequence, as a fraction of 2^64.
	points *simplelru.LRU[string, uint64]
}

// New returns a splitter whose sequences begin at random points.
func New(options ...Option) *Splitter {
	points, err := simplelru.NewLRU[string, uint64](capacity, nil)
	if err != nil {
		panic(err)
	}
	s := &Splitter{random: rand.Uint64, points: points}
	for _, option := range options {
		option(s)
	}
	return s
}

// Choose returns the service of the next request of a route: the route's own one unless it
// splits its traffic.
func (s *Splitter) Choose(route fleet.Route) fleet.ServiceName {
	total := route.Split.Total()
	if total <= 0 {
		return route.Service
	}
	position, _ := bits.Mul64(s.next(route.Name), uint64(total))
	return route.Split.ServiceAt(int(position))
}

// next returns the next point of a route's sequence.
func (s *Splitter) next(route string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	point, found := s.points.Get(route)
	if !found {
		point = s.random()
	}
	point += step
	s.points.Add(route, point)
	return point
}
