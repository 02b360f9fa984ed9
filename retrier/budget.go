package retrier

import "time"

// budget is what is left of the retries of one service.
type budget struct {
	tokens float64
	// refilled is when tokens for the passed time were added last.
	refilled time.Time
}

// refill adds the tokens for the time since the last call, up to the burst.
func (b *budget) refill(now time.Time, perSecond, burst float64) {
	passed := now.Sub(b.refilled).Seconds()
	b.refilled = now
	b.add(perSecond*max(0, passed), burst)
}

// add adds tokens up to the burst, which may have been lowered.
func (b *budget) add(tokens, burst float64) {
	b.tokens = min(burst, b.tokens+tokens)
}
