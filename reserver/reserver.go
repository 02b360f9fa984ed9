// Package reserver holds what is reserved for a request that is yet to come, until it is
// claimed or the time for it has passed.
package reserver

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Reserver holds values by key. It is safe for concurrent use.
type Reserver[K comparable, V any] struct {
	clock    clockwork.Clock
	lifetime time.Duration
	expired  func(V)

	mu   sync.Mutex
	held map[K]*reservation[V]
}

// reservation is a value with the timer that ends it.
type reservation[V any] struct {
	value V
	timer clockwork.Timer
}

// New returns a reserver. It calls expired with each value that is not claimed within the
// lifetime, or that another one replaces.
func New[K comparable, V any](clock clockwork.Clock, lifetime time.Duration, expired func(V)) *Reserver[K, V] {
	return &Reserver[K, V]{clock: clock, lifetime: lifetime, expired: expired, held: make(map[K]*reservation[V])}
}

// Reserve holds a value under a key.
func (r *Reserver[K, V]) Reserve(key K, value V) {
	r.mu.Lock()
	replaced := r.held[key]
	added := &reservation[V]{value: value}
	r.held[key] = added
	added.timer = r.clock.AfterFunc(r.lifetime, func() { r.expire(key, added) })
	r.mu.Unlock()
	if replaced != nil {
		replaced.timer.Stop()
		r.expired(replaced.value)
	}
}

// Claim returns the value under a key and no longer holds it.
func (r *Reserver[K, V]) Claim(key K) (value V, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed, found := r.held[key]
	if !found {
		return value, false
	}
	delete(r.held, key)
	claimed.timer.Stop()
	return claimed.value, true
}

// Len returns the number of values held.
func (r *Reserver[K, V]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

func (r *Reserver[K, V]) expire(key K, ending *reservation[V]) {
	r.mu.Lock()
	current := r.held[key] == ending
	if current {
		delete(r.held, key)
	}
	r.mu.Unlock()
	if current {
		r.expired(ending.value)
	}
}
