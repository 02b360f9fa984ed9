package admitter

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// usageRows and usageColumns fix the memory of the organisations' usage, however many there are.
	usageRows    = 2
	usageColumns = 1024
	// usageHalfLife is the time after which past use counts half.
	usageHalfLife = 2 * time.Second
)

// bucket is the decaying use of all organisations that share it.
type bucket struct {
	amount  float64
	updated time.Time
}

// Usage estimates the recent use of each organisation, in a fixed array of
// hashed buckets. An organisation's use is the least of its buckets, so two
// organisations are confused only when they share the buckets of all rows.
//
// It is safe for concurrent use.
type Usage struct {
	mu      sync.Mutex
	total   bucket
	buckets [usageRows][usageColumns]bucket
}

// NewUsage returns an empty usage record.
func NewUsage() *Usage {
	return &Usage{}
}

// Add counts a use by an organisation, in seconds of a slot.
func (u *Usage) Add(organisation fleet.Organisation, seconds float64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.total.add(seconds, now)
	for row, column := range columns(organisation) {
		u.buckets[row][column].add(seconds, now)
	}
}

// Share returns an organisation's part of all recent use, from 0 to 1.
func (u *Usage) Share(organisation fleet.Organisation, now time.Time) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	total := u.total.at(now)
	if total == 0 {
		return 0
	}
	least := math.Inf(1)
	for row, column := range columns(organisation) {
		least = min(least, u.buckets[row][column].at(now))
	}
	return min(1, least/total)
}

func (b *bucket) add(amount float64, now time.Time) {
	b.amount = b.at(now) + amount
	b.updated = now
}

func (b *bucket) at(now time.Time) float64 {
	if b.amount == 0 {
		return 0
	}
	halvings := float64(now.Sub(b.updated)) / float64(usageHalfLife)
	return b.amount * math.Exp2(-halvings)
}

func columns(organisation fleet.Organisation) [usageRows]uint32 {
	hash := xxhash.Sum64String(string(organisation))
	return [usageRows]uint32{uint32(hash) % usageColumns, uint32(hash>>32) % usageColumns}
}
