package gatekeeper

import (
	"net/http"

	"cowsliptally.example/cowsliptally/fleet"
)

// Handler returns a handler that keeps the memory for a request's head reserved while another
// handler serves it. A request whose head was not read as one, as in HTTP/2, is refused if there
// is no memory for it.
func (g *Gatekeeper) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, found := r.Context().Value(connKey{}).(*conn)
		if !found {
			next.ServeHTTP(w, r)
			return
		}
		reserved, ok := c.begin(r)
		if !ok {
			g.note(reasonMemory, c.ip)
			g.refuse(w, r)
			return
		}
		defer c.end(reserved)
		next.ServeHTTP(w, r)
	})
}

// refuse answers a request that was read but not begun.
func (g *Gatekeeper) refuse(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Retry-After", retryAfter)
	if g.lines != "" {
		header.Set(fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID))
		header.Set(fleet.HeaderExecuted, string(fleet.ExecutedNo))
		header.Set(fleet.HeaderReason, string(fleet.ReasonMemory))
	}
	header.Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}
