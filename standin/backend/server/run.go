package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const (
	// HeaderSize requests that many filler bytes in the answer.
	HeaderSize = "Standin-Size"
	// HeaderWork requests a median service time in microseconds.
	HeaderWork = "Standin-Work"
)

// run executes one request if a slot is free, and sheds it otherwise.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "the body ended early", http.StatusBadRequest)
		return
	}
	if s.running.Add(1) > int64(s.slots) {
		s.running.Add(-1)
		s.shed(w, r)
		return
	}
	defer s.running.Add(-1)
	request := r.Header.Get(fleet.HeaderRequestID)
	faults := s.active()
	if err := s.recordStart(r, request, faults); err != nil {
		http.Error(w, "ledger: "+err.Error(), http.StatusInternalServerError)
		return
	}
	if faults.Crash != "" && hasMarker(r, body, faults.Crash) {
		s.exit(2)
	}
	started := time.Now()
	if !s.simulateWork(r, faults) {
		http.Error(w, "cancelled or out of time", http.StatusGatewayTimeout)
		return
	}
	s.respond(w, r, body, time.Since(started), faults)
}

// shed refuses a request because all slots are in use.
func (s *Server) shed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(fleet.HeaderRequestID, r.Header.Get(fleet.HeaderRequestID))
	w.Header().Set(fleet.HeaderExecuted, string(fleet.ExecutedNo))
	w.Header().Set(fleet.HeaderReason, string(fleet.ReasonBusy))
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// recordStart records the start of a run in the ledger; the faults Deny and
// Double omit or repeat it.
func (s *Server) recordStart(r *http.Request, request string, faults Faults) error {
	if s.occurs(faults.Deny) {
		return nil
	}
	key := r.Header.Get(fleet.HeaderIdempotencyKey)
	idempotent := r.Header.Get(fleet.HeaderIdempotent) != "false"
	if s.occurs(faults.Double) {
		if err := s.ledger.Start(request, key, idempotent); err != nil {
			return err
		}
	}
	return s.ledger.Start(request, key, idempotent)
}

// simulateWork waits for the service time. It returns false if the request was
// cancelled or its timeout passed.
func (s *Server) simulateWork(r *http.Request, faults Faults) bool {
	ctx := r.Context()
	if limit, err := strconv.Atoi(r.Header.Get(fleet.HeaderTimeout)); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(limit)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	if faults.Stuck {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(s.serviceTime(r, faults))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceTime draws a log-normal service time and applies the slowness of faults
// and of a cold start.
func (s *Server) serviceTime(r *http.Request, faults Faults) time.Duration {
	median := s.work
	if micros, err := strconv.Atoi(r.Header.Get(HeaderWork)); err == nil {
		median = time.Duration(micros) * time.Microsecond
	}
	s.mu.Lock()
	noise := math.Exp(s.spread * s.random.NormFloat64())
	s.mu.Unlock()
	duration := float64(median) * noise
	if faults.Slow > 1 {
		duration *= faults.Slow
	}
	if time.Since(s.started) < s.coldStart {
		duration *= coldStartFactor
	}
	return time.Duration(duration)
}

// respond ends a run with its answer or with a fault.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, body []byte, took time.Duration, faults Faults) {
	request := r.Header.Get(fleet.HeaderRequestID)
	previous, _ := s.previous.Swap(request).(string)
	switch {
	case s.occurs(faults.Errors):
		w.Header().Set(fleet.HeaderRequestID, request)
		http.Error(w, "internal fault", http.StatusInternalServerError)
		return
	case s.occurs(faults.Wrong):
		s.writeAnswer(w, r, previous, body, took, false)
		return
	case s.occurs(faults.Cut):
		s.writeAnswer(w, r, request, body, took, true)
		return
	}
	if err := s.ledger.Finish(request); err != nil {
		http.Error(w, "ledger: "+err.Error(), http.StatusInternalServerError)
		return
	}
	s.writeAnswer(w, r, request, body, took, false)
}

// writeAnswer sends an answer to a request, or its first half when cut is set.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, request string, body []byte, took time.Duration, cut bool) {
	answer := Answer{
		Request: request, Backend: string(s.id), Sum: Sum(request, body), TookMicros: took.Microseconds(),
	}
	if s.occurs(s.active().Forge) {
		answer.Sum = Sum(request, nil) + "0"
	}
	if size, err := strconv.Atoi(r.Header.Get(HeaderSize)); err == nil && size > 0 {
		answer.Filler = strings.Repeat("x", size)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(fleet.HeaderRequestID, request)
	w.Header().Set(fleet.HeaderBackend, string(s.id))
	if cut {
		data = data[:len(data)/2]
	}
	_, err = w.Write(data)
	if err == nil && cut {
		err = errors.Join(http.NewResponseController(w).Flush(), http.ErrAbortHandler)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// hasMarker reports whether the path or body of a request contains the marker.
func hasMarker(r *http.Request, body []byte, marker string) bool {
	return strings.Contains(r.URL.Path, marker) || bytes.Contains(body, []byte(marker))
}

// occurs draws whether an event of a given probability occurs.
func (s *Server) occurs(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// active returns the faults in force now.
func (s *Server) active() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.active(time.Since(s.started))
}
