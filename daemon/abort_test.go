package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLastAbortLeavesTimeForAnswers guards against requests at work that are aborted so late that their callers get no
// answer, earlier than those that only wait, or later than these in a node without an extension.
func TestLastAbortLeavesTimeForAnswers(t *testing.T) {
	for name, tc := range map[string]struct{ shutdown, extension, last time.Duration }{
		"no extension":       {5400 * time.Millisecond, 0, 5100 * time.Millisecond},
		"extension":          {5400 * time.Millisecond, 500 * time.Millisecond, 5800 * time.Millisecond},
		"long shutdown":      {30 * time.Second, 500 * time.Millisecond, 30400 * time.Millisecond},
		"short extension":    {5400 * time.Millisecond, 50 * time.Millisecond, 5350 * time.Millisecond},
		"nearly none":        {100 * time.Millisecond, 10 * time.Millisecond, 87500 * time.Microsecond},
		"stalled, over":      {0, 0, 0},
		"stalled, extension": {0, 500 * time.Millisecond, 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			grace := GracePeriod{Shutdown: tc.shutdown, Extension: tc.extension}
			last := grace.LastAbort(now.Add(AbortAfter(tc.shutdown)), now.Add(tc.shutdown+tc.extension))
			is.Equal(last.Sub(now), tc.last)
		})
	}
}
