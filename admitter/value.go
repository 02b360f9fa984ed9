package admitter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// rank returns the indexes of the most and the least valuable queued request. Of equals,
// the oldest is the best and the newest the worst.
func (a *Admitter) rank(now time.Time) (best, worst int) {
	most, least := math.Inf(-1), math.Inf(1)
	for i, r := range a.waiting {
		value := a.value(r, now)
		if value > most {
			best, most = i, value
		}
		if value <= least {
			worst, least = i, value
		}
	}
	return best, worst
}

// order returns the indexes of the waiting requests by falling value, equals by arrival.
func (a *Admitter) order(now time.Time) []int {
	order := make([]int, len(a.waiting))
	values := make([]float64, len(a.waiting))
	for i, r := range a.waiting {
		order[i], values[i] = i, a.value(r, now)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(values[y], values[x]) })
	return order
}

// value is the value of a request for each second of a slot. The recent use of its
// organisation lowers it, and so does a target that cannot be met any more: under lasting
// overload requests that can meet theirs go first, so that not all are late.
func (a *Admitter) value(r Request, now time.Time) float64 {
	unused := 1 - a.share(r.Organisation, now)
	value := float64(max(1, r.Weight)) / a.cost(r.Kind, now).Seconds() * (minUnusedShare + unused*unused)
	if !r.Target.IsZero() && now.Add(a.Expected(r.Kind, now)).After(r.Target) {
		value *= lateFactor
	}
	return value
}

// share returns an organisation's part of the recent use, from 0 to 1. Requests that belong to
// no organisation, such as nested calls of backend servers, are made for many: taken for one
// organisation, they would lose their slots to all others and fail the requests that made them.
func (a *Admitter) share(organisation fleet.Organisation, now time.Time) float64 {
	if organisation == "" {
		return 0
	}
	return a.usage.Share(organisation, now)
}

// cost is the expected service time of a kind, or of all kinds when it is new.
func (a *Admitter) cost(kind fleet.RequestKind, now time.Time) time.Duration {
	if a.forecaster.Known(kind) {
		return max(a.forecaster.Expected(kind, now), minCost)
	}
	return max(a.forecaster.Mean(now), minCost)
}
