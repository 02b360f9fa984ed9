package admitter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// usageRows and usageColumns fix the memory of the organisations' usage, however many there are.
	usageRows    = 2
	usageColumns = 1024
	// usageHalfLife is the time in which past use counts half.
	usageHalfLife = 2 * time.Second
)

// bucket is the decaying use of all organisations that share it.
type bucket struct {
	amount  float64
	updated time.Time
}

// Usage estimates how much each organisation used of late, in a fixed array of
// hashed buckets. An organisation's use is the least of its buckets, so two
// organisations are taken for each other only when they share all rows.
type Usage struct {
	buckets [usageRows][usageColumns]bucket
}

// NewUsage returns a record without any use.
func NewUsage() *Usage {
	return &Usage{}
}

// Add counts one use by an organisation.
func (u *Usage) Add(organisation fleet.Organisation, now time.Time) {
	for row, column := range columns(organisation) {
		b := &u.buckets[row][column]
		b.amount = b.at(now) + 1
		b.updated = now
	}
}

// Of returns the recent use by an organisation.
func (u *Usage) Of(organisation fleet.Organisation, now time.Time) float64 {
	least := math.Inf(1)
	for row, column := range columns(organisation) {
		least = min(least, u.buckets[row][column].at(now))
	}
	return least
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
