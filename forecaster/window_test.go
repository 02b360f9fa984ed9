package forecaster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/forecaster"
)

// TestLongestNeedsEvidenceAndForgets guards against a stopping owner that takes requests because it
// has seen too few to know the slow ones, and against one slow request that is never forgotten.
func TestLongestNeedsEvidenceAndForgets(t *testing.T) {
	is := is.New(t)
	f := forecaster.New()
	now := time.Unix(1000, 0)
	longest := func() time.Duration {
		took, known := f.Longest("order", now)
		if !known {
			return -1
		}
		return took
	}
	is.Equal(longest(), time.Duration(-1))
	f.Record("order", 3*time.Second, now)
	for range 148 {
		f.Record("order", 100*time.Millisecond, now)
	}
	is.Equal(longest(), time.Duration(-1)) // 149 are too few
	f.Record("order", 100*time.Millisecond, now)
	is.Equal(longest(), 3*time.Second)
	f.RecordUnfinished("order", 4*time.Second, now)
	is.Equal(longest(), 4*time.Second) // given up, so it takes at least that long
	now = now.Add(16 * time.Second)
	for range 150 {
		f.Record("order", 200*time.Millisecond, now)
	}
	is.Equal(longest(), 4*time.Second)
	now = now.Add(15 * time.Second)
	f.Record("order", 200*time.Millisecond, now)
	is.Equal(longest(), 200*time.Millisecond)
	now = now.Add(31 * time.Second)
	is.Equal(longest(), time.Duration(-1))
}
