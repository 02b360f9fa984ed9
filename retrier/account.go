package retrier

import "time"

// account is the retry budget of one service. Times are monotonic, since the retrier's start.
type account interface {
	// recordRequest counts a request that was received at a time.
	recordRequest(at time.Duration)
	// remaining returns what may be charged.
	remaining(now time.Duration) float64
	// charge subtracts the cost of a retry. What remains may fall below 0.
	charge(now time.Duration, cost float64)
}
