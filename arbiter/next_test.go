package arbiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/arbiter"
)

// TestAttemptThatNoOtherMayFollowIsNotGivenUpForAReservedSlot guards against giving up a request at work for a slot to which it may not
// be sent any more: its stopping owner may still answer it.
func TestAttemptThatNoOtherMayFollowIsNotGivenUpForAReservedSlot(t *testing.T) {
	is := is.New(t)
	now := start.Add(5 * time.Second)
	reserved := arbiter.New(start, start.Add(20*time.Second)).WithRepeatable(false).WithNodeEnd(now.Add(time.Second)).
		WithSearch(arbiter.SlotReserved, now)
	is.Equal(reserved.Next(now), arbiter.Move)
	final := reserved.WithoutNext()
	is.Equal(final.Next(now), arbiter.Wait)
	is.Equal(final.WithNodeEnd(now.Add(100*time.Millisecond)).Next(now), arbiter.Wait)
	is.Equal(final.WithEnding(arbiter.NodeEnded).Next(now), arbiter.Drop)
	is.Equal(final.WithSilence(2).WithAnswer(arbiter.NotSealed, now).Next(now), arbiter.Wait)
	is.Equal(final.WithHedgeFrom(now, 0).Next(now), arbiter.Wait)
}
