package server

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"cowsliptally.example/cowsliptally/logclient"
)

const (
	// maxRecordBytes bounds one record.
	maxRecordBytes = 4 << 20
	// defaultLimit bounds the records of one read that has no max parameter.
	defaultLimit = 1000
)

// Server is an in-memory log service. It is safe for concurrent use.
type Server struct {
	clock   clockwork.Clock
	handler http.Handler

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	stats   Stats
}

// New returns a log service without records.
func New(options ...Option) *Server {
	s := &Server{clock: clockwork.NewRealClock(), streams: make(map[string]*stream)}
	for _, option := range options {
		option(s)
	}
	router := chi.NewRouter()
	router.Post("/streams/{stream}", s.serveAppend)
	router.Get("/streams/{stream}", s.serveRead)
	router.Post("/faults", s.serveFaults)
	router.Get("/stats", s.serveStats)
	s.handler = router
	return s
}

// ServeHTTP serves the HTTP interface of the log service and of its faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	for _, stream := range s.streams {
		stream.retain(faults.Retain)
		stream.wake()
	}
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Records returns the retained records of a stream.
func (s *Server) Records(name string) []logclient.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]logclient.Entry(nil), s.stream(name).entries...)
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	// The body is read before the faults apply: net/http detects that the caller
	// of a hanging call has disconnected only once the body has been read.
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("record: %v", err), http.StatusRequestEntityTooLarge)
		return
	}
	if !s.admit(w, r) {
		return
	}
	offset, lost := s.append(chi.URLParam(r, "stream"), payload)
	if lost {
		<-r.Context().Done()
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
}

func (s *Server) append(name string, payload []byte) (offset uint64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(name)
	offset = stream.append(payload)
	stream.retain(s.faults.Retain)
	s.stats.Appends++
	s.stats.Bytes += uint64(len(payload))
	if s.faults.Lose > 0 {
		s.faults.Lose--
		return offset, true
	}
	return offset, false
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("from %q is not an offset", r.URL.Query().Get("from")), http.StatusBadRequest)
		return
	}
	wait := time.Duration(queryInt(r, "wait", 0)) * time.Millisecond
	ctx, cancel := clockwork.WithTimeout(r.Context(), s.clock, wait)
	defer cancel()
	batch, err := s.await(ctx, chi.URLParam(r, "stream"), from, queryInt(r, "max", defaultLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if r.Context().Err() != nil {
		return
	}
	status := http.StatusOK
	if from < batch.Oldest {
		status = http.StatusGone
	}
	writeJSON(w, status, batch)
}

// await waits until the stream has a record at from, from has expired or ctx is
// done, and returns the batch. It fails if the log service goes down meanwhile.
func (s *Server) await(ctx context.Context, name string, from uint64, limit int) (logclient.Batch, error) {
	for {
		s.mu.Lock()
		s.stats.Reads++
		stream := s.stream(name)
		batch := stream.read(from, limit)
		changed := stream.changed
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			return logclient.Batch{}, errDown
		}
		if len(batch.Entries) > 0 || from < batch.Oldest {
			return batch, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch, nil
		}
	}
}

// sleep waits for a duration or until ctx is done.
func (s *Server) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-s.clock.After(duration):
	case <-ctx.Done():
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, fmt.Sprintf("faults: %v", err), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Stats())
}

// admit applies the faults that stop or delay a call. It returns false if the
// call is not to be served.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := s.Faults()
	if faults.Hang {
		<-r.Context().Done()
		return false
	}
	if faults.Down {
		http.Error(w, errDown.Error(), http.StatusServiceUnavailable)
		return false
	}
	if faults.Slow > 0 {
		s.sleep(r.Context(), time.Duration(faults.Slow)*time.Millisecond)
	}
	return true
}

// stream returns the stream of a name and creates it if needed; mu must be held.
func (s *Server) stream(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = newStream()
		s.streams[name] = found
	}
	return found
}

// queryInt returns a query parameter as a number, or fallback if it is missing
// or not a number.
func queryInt(r *http.Request, name string, fallback int) int {
	value, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return fallback
	}
	return value
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the caller has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}
