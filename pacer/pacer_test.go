package pacer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/pacer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	fmt.Println("rapid seed 7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestNoWindowHoldsMoreThanTheLimitAllows draws arrivals and limits that change, and compares
// each 4 s with the largest limit that was in force in them.
func TestNoWindowHoldsMoreThanTheLimitAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pacer.Pacer
		now := start
		type sent struct {
			at    time.Time
			limit float64
		}
		var all []sent
		limit := rapid.Float64Range(0, 20).Draw(t, "limit")
		p.Limit(limit, now)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				limit = rapid.Float64Range(0, 20).Draw(t, "limit")
				p.Limit(limit, now)
			}
			if p.Take(now) {
				all = append(all, sent{now, limit})
			}
		}
		for i := range all {
			count, most := 0, 0.0
			for _, s := range all[i:] {
				if s.at.Sub(all[i].at) < 4*time.Second {
					count++
					most = max(most, s.limit)
				}
			}
			if float64(count) > 1.5*4*most+5 {
				t.Fatalf("%d requests in 4 s with limits up to %v", count, most)
			}
		}
	})
}

func TestWaitEndsWhenARequestMayBeSent(t *testing.T) {
	is := is.New(t)
	var p pacer.Pacer
	is.True(p.Take(start)) // no limit
	p.Limit(2, start)
	is.True(!p.Take(start))
	is.Equal(p.Wait(0, start).Round(time.Millisecond), 500*time.Millisecond)
	is.Equal(p.Wait(2, start).Round(time.Millisecond), 1500*time.Millisecond)
	is.True(p.Take(start.Add(p.Wait(0, start))))
	is.True(p.Lift())
	is.Equal(p.Wait(9, start), time.Duration(0))
}

func TestInheritedLimitHoldsUntilTheBackendServerAnswers(t *testing.T) {
	is := is.New(t)
	var p pacer.Pacer
	_, _, known := p.Rate()
	is.True(!known)
	is.True(p.Inherit(3, start))
	rate, limited, known := p.Rate()
	is.True(rate == 3 && limited && known)
	is.True(p.Lift())
	is.True(!p.Inherit(3, start)) // told before the limit was lifted
	_, limited, known = p.Rate()
	is.True(!limited && known)
}
