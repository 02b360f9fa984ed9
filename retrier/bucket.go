package retrier

import "time"

// bucket is an account to which each request adds a ratio, up to a burst.
type bucket struct {
	ratio  float64
	burst  float64
	tokens float64
}

func (b *bucket) recordRequest(time.Duration) { b.tokens = min(b.burst, b.tokens+b.ratio) }

func (b *bucket) remaining(time.Duration) float64 { return b.tokens }

func (b *bucket) charge(_ time.Duration, cost float64) { b.tokens -= cost }
