package detector

const (
	// leastErrorRate bounds the usual error rate from below.
	leastErrorRate = 1e-4
	// priorErrors and priorResults are the usual error rate before any sample.
	priorErrors  = 0.3
	priorResults = 1_000
	// grossErrorRate is the error rate of a backend server that mostly fails.
	grossErrorRate = 0.4
	// mostErrorRate bounds the rates that are tested for.
	mostErrorRate = 0.9
	// errorMemory is the number of results after which an old one weighs 1/e.
	errorMemory = 100_000
	// farApart is the least ratio between a bad and the usual error rate.
	farApart = 4.0
)

// failures holds the usual error rate of one request kind over the service.
type failures struct {
	failed float64
	total  float64
}

// add takes a result in, with the failed answers that it settles; weights fade
// as newer ones come.
func (f *failures) add(settled int) {
	if f.total >= errorMemory {
		f.failed /= 2
		f.total /= 2
	}
	f.total++
	f.failed += float64(settled)
}

// rate returns the usual error rate.
func (f *failures) rate() float64 {
	return max((f.failed+priorErrors)/(f.total+priorResults), leastErrorRate)
}
