package retrier

import "time"

// bucket is an account that each request fills by a ratio, up to a burst.
type bucket struct {
	ratio  float64
	burst  float64
	tokens float64
}

func (b *bucket) request(time.Duration) { b.tokens = min(b.burst, b.tokens+b.ratio) }

func (b *bucket) left(time.Duration) float64 { return b.tokens }

func (b *bucket) spend(_ time.Duration, cost float64) { b.tokens -= cost }
