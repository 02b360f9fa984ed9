package retrier

import "time"

// account is the retry budget of one service.
type account interface {
	// request counts a new submission.
	request(now time.Time)
	// left returns what may be spent.
	left(now time.Time) float64
	// spend takes off the price of a retry, which must be left.
	spend(now time.Time, cost float64)
}
