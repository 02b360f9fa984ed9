package retrier

import "time"

// account is the retry budget of one service. Times are steady ones since the retrier's start.
type account interface {
	// request counts a new submission.
	request(now time.Duration)
	// left returns what may be spent.
	left(now time.Duration) float64
	// spend takes off the price of a retry, which must be left.
	spend(now time.Duration, cost float64)
}
