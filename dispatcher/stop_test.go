package dispatcher_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/dispatcher"
	"cowsliptally.example/cowsliptally/fleet"
)

// TestStoppingOwnerAdmitsWhatItsIngressAbortsFirst guards against an attempt that a stopping owner refuses though the node of
// its ingress ends before.
func TestStoppingOwnerAdmitsWhatItsIngressAbortsFirst(t *testing.T) {
	for name, tc := range map[string]struct{ aborts, outcome string }{
		"first":            {"4000", "yes "},
		"later":            {"6000", "no draining"},
		"its node goes on": {"", "no draining"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := dispatcher.New("node", newLocal(t))
			defer d.Close()
			ticket := send(d, "t", "1", "", "false").Header().Get(fleet.HeaderTicket)
			d.Stop(time.Now().Add(5*time.Second), time.Now().Add(5*time.Second))
			answer := send(d, "r", "1", ticket, "false", fleet.HeaderTimeout, "60000", fleet.HeaderAborts, tc.aborts)
			is.Equal(outcome(answer), tc.outcome)
		})
	}
}

// TestWhatEndsBeforeItsNodeIsNotHandedBack guards against a stopping owner that ends requests at which its
// backend server works, although the node outlives them.
func TestWhatEndsBeforeItsNodeIsNotHandedBack(t *testing.T) {
	const (
		work    = 2500 * time.Millisecond
		after   = 2300 * time.Millisecond
		nodeEnd = after + 700*time.Millisecond
	)
	for name, tc := range map[string]struct {
		idempotent, last, follows string
		aborts                    string
		usual, timeout            time.Duration
		outcome                   string
	}{
		"it usually takes no time":        {idempotent: "true", timeout: 5 * time.Second, outcome: "unknown stopped"},
		"it takes longer than usual":      {idempotent: "true", usual: time.Second, timeout: 5 * time.Second, outcome: "unknown stopped"},
		"less time left than usual":       {idempotent: "true", usual: time.Second, timeout: nodeEnd + 200*time.Millisecond, outcome: "unknown stopped"},
		"its deadline is before":          {idempotent: "true", usual: time.Second, timeout: nodeEnd - 100*time.Millisecond, outcome: "yes "},
		"its ingress ends before":         {idempotent: "true", usual: time.Second, timeout: 5 * time.Second, aborts: "2900", outcome: "yes "},
		"it is expected to end before":    {idempotent: "true", usual: work, timeout: 5 * time.Second, outcome: "yes "},
		"time, but no other attempt":      {idempotent: "true", last: "true", usual: time.Second, timeout: 5 * time.Second, outcome: "yes "},
		"time, but it must not run again": {idempotent: "false", usual: time.Second, timeout: 5 * time.Second, outcome: "yes "},
		"its ingress finds the next one":  {idempotent: "true", follows: "true", usual: time.Second, timeout: 5 * time.Second, outcome: "yes "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			worked := &atomic.Int64{}
			worked.Store(int64(tc.usual))
			l, _ := relayed(t, worked)
			d := dispatcher.New("node", l)
			defer d.Close()
			ticket := send(d, "t", "1", "", "true").Header().Get(fleet.HeaderTicket)
			if tc.usual > 0 {
				var sends sync.WaitGroup
				for i := range l.backend.Slots {
					sends.Go(func() { send(d, "usual"+strconv.Itoa(i), "1", ticket, "true") })
				}
				sends.Wait()
			}
			worked.Store(int64(work))
			end := time.Now().Add(nodeEnd)
			time.AfterFunc(after, func() { d.HandBack(end) })
			answer := send(d, "r", "1", ticket, tc.idempotent, fleet.HeaderLastAttempt, tc.last,
				fleet.HeaderFollows, tc.follows, fleet.HeaderAborts, tc.aborts, fleet.HeaderTimeout, strconv.FormatInt(tc.timeout.Milliseconds(), 10))
			is.Equal(outcome(answer), tc.outcome)
		})
	}
}
