package detector

import (
	"math"
	"time"
)

const (
	binsPerOctave = 4
	bins          = 96
	shortest      = 10 * time.Microsecond
	// memory is the number of samples after which an old one weighs 1/e.
	memory = 10_000
	// refreshEvery is the number of samples between two refreshes of the scores.
	refreshEvery = 256
	// leastSamples is the number of samples from which ranks are trusted.
	leastSamples = 64
	// leastSigma and mostSigma bound the spread of log times.
	leastSigma = 0.3
	mostSigma  = 3.0
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

// add takes a time in; weights fade as newer ones come.
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

// shift returns the normal score by which a backend server moves that is slower by factor.
func (r *reference) shift(factor float64) float64 {
	return min(max(math.Log(factor)/r.sigma, leastShift), mostShift)
}

func (r *reference) refresh() {
	fade := math.Exp(-float64(r.since) / memory)
	r.since = 0
	r.next = min(max(int(r.total)/2, leastSamples/2), refreshEvery)
	total := 0.0
	for i, count := range r.counts {
		r.counts[i] = count * float32(fade)
		total += float64(r.counts[i])
	}
	r.total = total
	if total < leastSamples/2 {
		return
	}
	below := 0.0
	for i, count := range r.counts {
		rank := (below + float64(count)/2 + 0.5) / (total + 1)
		r.scores[i] = float32(math.Sqrt2 * math.Erfinv(2*rank-1))
		below += float64(count)
	}
	r.median = r.quantile(0.5)
	r.sigma = min(max(r.quantile(0.84)-r.median, leastSigma), mostSigma)
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
