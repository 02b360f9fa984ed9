package forwarder

import (
	"testing"

	"github.com/matryer/is"
)

// TestAttemptsAtWorkAreNotGivenUpForSilence guards against giving up an attempt while its answer
// may still come and nothing can take its place.
func TestAttemptsAtWorkAreNotGivenUpForSilence(t *testing.T) {
	for name, tc := range map[string]struct {
		known silence
		next  silentStep
	}{
		"first timeout":         {silence{timeouts: 1}, keepWaiting},
		"not asked":             {silence{timeouts: 2}, askOwner},
		"asked again":           {silence{timeouts: 20}, askOwner},
		"sealed":                {silence{timeouts: 2, answer: ownerSealed}, abandon},
		"may run":               {silence{timeouts: 20, answer: ownerRefused}, keepWaiting},
		"owner unreachable":     {silence{timeouts: 20, answer: ownerUnreachable}, keepWaiting},
		"owner ended":           {silence{timeouts: 2, answer: ownerEnded}, abandon},
		"repeatable, first":     {silence{timeouts: 1, repeatable: true}, keepWaiting},
		"repeatable, not asked": {silence{timeouts: 2, repeatable: true}, abandon},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.known.next(), tc.next)
		})
	}
}
