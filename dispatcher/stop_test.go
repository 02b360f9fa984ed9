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

// TestOnlyWhatCanBeInTimeElsewhereIsHandedBack guards against a stopping owner that ends requests at
// which its backend server works, with too little time left for any other.
func TestOnlyWhatCanBeInTimeElsewhereIsHandedBack(t *testing.T) {
	const (
		usual = time.Second
		work  = 2500 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		idempotent, last string
		timeout, after   time.Duration
		outcome          string
	}{
		"time for another attempt":        {idempotent: "true", timeout: 5 * time.Second, after: 2300 * time.Millisecond, outcome: "unknown stopped"},
		"less time than its kind takes":   {idempotent: "true", timeout: 3200 * time.Millisecond, after: 2300 * time.Millisecond, outcome: "yes "},
		"time, but no other attempt":      {idempotent: "true", last: "true", timeout: 5 * time.Second, after: 300 * time.Millisecond, outcome: "yes "},
		"time, but it must not run again": {idempotent: "false", timeout: 5 * time.Second, after: 300 * time.Millisecond, outcome: "yes "},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			worked := &atomic.Int64{}
			worked.Store(int64(usual))
			l, _ := relayed(t, worked)
			d := dispatcher.New("node", l)
			defer d.Close()
			ticket := send(d, "t", "1", "", "true").Header().Get(fleet.HeaderTicket)
			var sends sync.WaitGroup
			for i := range l.backend.Slots {
				sends.Go(func() { send(d, "usual"+strconv.Itoa(i), "1", ticket, "true") })
			}
			sends.Wait()
			worked.Store(int64(work))
			time.AfterFunc(tc.after, d.HandBack)
			answer := send(d, "r", "1", ticket, tc.idempotent, fleet.HeaderLastAttempt, tc.last,
				fleet.HeaderTimeout, strconv.FormatInt(tc.timeout.Milliseconds(), 10))
			is.Equal(outcome(answer), tc.outcome)
		})
	}
}
