package reserver_test

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/reserver"
)

// TestEachValueIsClaimedOrExpiresOnce reserves, replaces and claims values, some of them at
// the moment at which they expire.
func TestEachValueIsClaimedOrExpiresOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var ended []int
		end := func(value int) {
			mu.Lock()
			defer mu.Unlock()
			ended = append(ended, value)
		}
		r := reserver.New[string](clockwork.NewRealClock(), time.Second, end)
		var claims sync.WaitGroup
		claim := func(key string) {
			if value, found := r.Claim(key); found {
				end(value)
			}
		}
		r.Reserve("claimed", 1)
		r.Reserve("expires", 2)
		r.Reserve("replaced", 3)
		r.Reserve("replaced", 4)
		r.Reserve("both", 5)
		claim("claimed")
		claim("claimed")
		is.Equal(r.Len(), 3)
		claims.Go(func() { time.Sleep(time.Second); claim("both") })
		claims.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		slices.Sort(ended)
		is.Equal(ended, []int{1, 2, 3, 4, 5})
		is.Equal(r.Len(), 0)
	})
}
