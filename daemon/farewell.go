package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// farewellTime is how long a node that ends still answers its callers, so that
// they learn to go elsewhere before their connections close.
const farewellTime = time.Second

// farewell passes requests on and, once begun, tells each caller that its
// connection closes after the answer.
type farewell struct {
	next  http.Handler
	begun atomic.Bool
}

// ServeHTTP answers a request.
func (f *farewell) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.begun.Load() {
		w.Header().Set("Connection", "close")
	}
	f.next.ServeHTTP(w, r)
}

// wait lets kept connections turn over.
func (f *farewell) wait(ctx context.Context) {
	f.begun.Store(true)
	timer := time.NewTimer(farewellTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
