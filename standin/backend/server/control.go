package server

import (
	"encoding/json"
	"net"
	"net/http"
)

// serveHealth reports whether the server is healthy; with Faults.Lie it always
// reports that it is.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	faults := s.active()
	if faults.unhealthy() && !faults.Lie {
		http.Error(w, `{"status":"bad"}`, http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]string{"status": "ok"})
}

// serveLoad reports how many slots are in use.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]int64{"running": s.running.Load(), "slots": int64(s.slots)})
}

func (s *Server) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.ledger.Entries())
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	requester, _ := r.Context().Value(connKey{}).(net.Conn)
	s.setFaults(faults, requester)
	writeJSON(w, faults)
}

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	writeJSON(w, map[string]string{"state": "draining"})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
