package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAttemptsAtWorkAreNotGivenUpForSilence guards against giving up an attempt while its answer
// may still come and nothing is certain to take its place.
func TestAttemptsAtWorkAreNotGivenUpForSilence(t *testing.T) {
	for name, tc := range map[string]struct {
		known silence
		next  silentStep
	}{
		"first timeout":               {silence{timeouts: 1, left: time.Second}, keepWaiting},
		"not asked":                   {silence{timeouts: 2, left: time.Second}, askOwner},
		"asked again":                 {silence{timeouts: 20, left: time.Second}, askOwner},
		"sealed":                      {silence{timeouts: 2, left: time.Second, answer: ownerSealed}, abandon},
		"may run":                     {silence{timeouts: 20, left: time.Second, answer: ownerDidNotSeal}, keepWaiting},
		"owner unreachable":           {silence{timeouts: 20, left: time.Second, answer: ownerUnreachable}, keepWaiting},
		"owner ended":                 {silence{timeouts: 2, left: time.Second, answer: ownerEnded}, abandon},
		"repeatable, first":           {silence{timeouts: 1, left: time.Second, repeatable: true}, keepWaiting},
		"repeatable, not asked":       {silence{timeouts: 2, left: time.Second, repeatable: true}, askOwner},
		"repeatable, sealed":          {silence{timeouts: 2, left: time.Second, repeatable: true, answer: ownerSealed}, abandon},
		"repeatable, ended":           {silence{timeouts: 2, left: time.Second, repeatable: true, answer: ownerEnded}, abandon},
		"repeatable, may run":         {silence{timeouts: 2, left: time.Second, repeatable: true, answer: ownerDidNotSeal}, reserveNext},
		"repeatable, unreachable":     {silence{timeouts: 2, left: time.Second, repeatable: true, answer: ownerUnreachable}, reserveNext},
		"slot reserved":               {silence{timeouts: 2, left: time.Second, repeatable: true, answer: ownerDidNotSeal, search: slotReserved}, abandon},
		"no slot":                     {silence{timeouts: 20, left: time.Second, repeatable: true, answer: ownerUnreachable, search: noSlot}, keepWaiting},
		"no time for another":         {silence{timeouts: 2, left: 50 * time.Millisecond, repeatable: true, answer: ownerDidNotSeal}, keepWaiting},
		"second lost owner":           {silence{timeouts: 2, left: time.Second, repeatable: true, lastLoss: true, answer: ownerUnreachable}, keepWaiting},
		"second lost owner, answered": {silence{timeouts: 2, left: time.Second, repeatable: true, lastLoss: true, answer: ownerDidNotSeal}, reserveNext},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.known.next(), tc.next)
		})
	}
}
