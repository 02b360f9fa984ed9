package detector

const (
	// minErrorRate bounds the usual error rate from below.
	minErrorRate = 1e-4
	// priorErrors and priorResults determine the usual error rate before any sample.
	priorErrors  = 0.3
	priorResults = 1_000
	// highErrorRate is the error rate of a backend server that mostly fails.
	highErrorRate = 0.4
	// maxErrorRate bounds the error rates that are tested for.
	maxErrorRate = 0.9
	// errorWindow is the sum of weights at which all weights are halved.
	errorWindow = 100_000
	// minRateRatio is the minimum ratio between a bad and the usual error rate.
	minRateRatio = 4.0
)

// errorBaseline holds the usual error rate of one request kind over the service.
type errorBaseline struct {
	failed float64
	total  float64
}

// add adds a result and the failed answers that are counted with it; older results
// lose weight as newer ones are added.
func (f *errorBaseline) add(failed int) {
	if f.total >= errorWindow {
		f.failed /= 2
		f.total /= 2
	}
	f.total++
	f.failed += float64(failed)
}

// rate returns the usual error rate.
func (f *errorBaseline) rate() float64 {
	return max((f.failed+priorErrors)/(f.total+priorResults), minErrorRate)
}
