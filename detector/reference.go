package detector

import (
	"math"
	"time"
)

const (
	binsPerOctave = 4
	bins          = 96
	shortest      = 10 * time.Microsecond
	// sampleWindow is the number of samples after which an old one weighs 1/e.
	sampleWindow = 10_000
	// refreshEvery is the number of samples between two refreshes of the scores.
	refreshEvery = 256
	// minSamples is the minimum number of samples for ranking.
	minSamples = 64
	// minSigma and maxSigma bound the spread of log times.
	minSigma = 0.3
	maxSigma = 3.0
)

// reference holds the recent times of one request kind over the whole service
// as a histogram of their logarithms.
type reference struct {
	counts [bins]float32
	scores [bins]float32
	total  float64
	since  int
	next   int
	median float64
	sigma  float64
}

// add adds a time; older times lose weight as newer ones are added.
func (r *reference) add(duration time.Duration) {
	r.counts[bin(duration)]++
	r.total++
	r.since++
	if r.since < r.next {
		return
	}
	r.refresh()
}

// ready reports whether there are enough samples to rank others.
func (r *reference) ready() bool {
	return r.sigma > 0
}

// score returns the normal score of a time and its log ratio to the median.
func (r *reference) score(duration time.Duration) (z, ratio float64) {
	octaves := octaves(duration)
	return float64(r.scores[binOf(octaves)]), octaves*math.Ln2 - r.median
}

// shift returns the shift in normal score of a backend server that is slower by factor.
func (r *reference) shift(factor float64) float64 {
	return min(max(math.Log(factor)/r.sigma, minShift), maxShift)
}

func (r *reference) refresh() {
	fade := math.Exp(-float64(r.since) / sampleWindow)
	r.since = 0
	r.next = min(max(int(r.total)/2, minSamples/2), refreshEvery)
	total := 0.0
	for i, count := range r.counts {
		r.counts[i] = count * float32(fade)
		total += float64(r.counts[i])
	}
	r.total = total
	if total < minSamples/2 {
		return
	}
	below := 0.0
	for i, count := range r.counts {
		rank := (below + float64(count)/2 + 0.5) / (total + 1)
		r.scores[i] = float32(math.Sqrt2 * math.Erfinv(2*rank-1))
		below += float64(count)
	}
	r.median = r.quantile(0.5)
	r.sigma = min(max(r.quantile(0.84)-r.median, minSigma), maxSigma)
}

// quantile returns the logarithm of the time, over shortest, with this rank.
func (r *reference) quantile(rank float64) float64 {
	wanted := rank * r.total
	below := 0.0
	for i, count := range r.counts {
		if below+float64(count) >= wanted && count > 0 {
			part := (wanted - below) / float64(count)
			return (float64(i) + part) * math.Ln2 / binsPerOctave
		}
		below += float64(count)
	}
	return bins * math.Ln2 / binsPerOctave
}

func bin(duration time.Duration) int { return binOf(octaves(duration)) }

// octaves returns the logarithm to base 2 of a time over shortest, at least 0.
func octaves(duration time.Duration) float64 {
	return math.Log2(float64(max(duration, shortest)) / float64(shortest))
}

func binOf(octaves float64) int { return min(int(octaves*binsPerOctave), bins-1) }
