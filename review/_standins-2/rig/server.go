package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots = 4
	// queue is the number of requests that wait for a slot; further ones are shed.
	queue = 40
)

// server is a stand-in of an upstream.
type server struct {
	fleet   *fleet
	machine *machine
	id      string
	address string
	born    int64
	work    time.Duration
	// after is called once a request has run, before it is answered; it reports whether the answer
	// is lost.
	after func(r *http.Request) (lost bool)
	// began is called when a request begins to run; nil ignores it.
	began func(r *http.Request)
	// crashes reports whether a request crashes the server when it begins to run it.
	crashes func(r *http.Request) bool

	// name is the id of the first incarnation.
	name     string
	sequence atomic.Int64
	slots    chan struct{}
	queued   atomic.Int64

	// mu guards id, born and what follows.
	mu      sync.Mutex
	process *http.Server
	down    bool
	starts  int
}

func (f *fleet) newServer(m *machine, address string) *server {
	s := &server{
		fleet: f, machine: m, address: address, id: "i-" + hex.EncodeToString([]byte(m.name))[16:28] + fmt.Sprint(len(f.machines)),
		born: time.Now().UnixMilli(), work: 30 * time.Millisecond, slots: make(chan struct{}, slots),
	}
	s.name = s.id
	if err := s.listen(); err != nil {
		panic(err)
	}
	return s
}

// listen starts the process of the server.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	process := &http.Server{Handler: s}
	s.mu.Lock()
	s.process = process
	s.mu.Unlock()
	go func() { _ = process.Serve(listener) }()
	return nil
}

// crash ends the process of the server, which closes its port and connections. It starts again after a
// time as a new incarnation with another id; with 0 it is lost for good.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	process, id := s.process, s.id
	s.mu.Unlock()
	s.fleet.note("crash    server=%s", id)
	process.Close()
	if down == 0 {
		return
	}
	go func() {
		time.Sleep(down)
		s.mu.Lock()
		s.starts++
		s.id, s.born, s.down = fmt.Sprintf("%s.%d", s.name, s.starts), time.Now().UnixMilli(), false
		s.sequence.Store(0)
		s.mu.Unlock()
		for s.listen() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		s.fleet.note("start    server=%s after its crash", s.identity())
		s.beat()
	}()
}

// identity returns the id of the present incarnation.
func (s *server) identity() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// startBeats sends heartbeats until the process ends.
func (s *server) startBeats() {
	go func() {
		for {
			s.beat()
			time.Sleep(heartbeat)
		}
	}()
}

func (s *server) beat() {
	s.mu.Lock()
	id, born, down := s.id, s.born, s.down
	s.mu.Unlock()
	if down {
		return
	}
	body, _ := json.Marshal(map[string]any{
		"address": s.address,
		"born":    born,
		"info":    map[string]any{"service": s.machine.service, "version": "v1", "zone": "suwon", "slots": slots},
		"status":  map[string]any{"state": "ready", "sequence": s.sequence.Add(1), "cold_remaining_s": 0},
	})
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+s.machine.beats+"/cowsliptally/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err == nil {
		response.Body.Close()
	}
}

// ServeHTTP serves one request as the users' pages tell.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	self := s.identity()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", self)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", self)
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	expected := r.Header.Get("X-Expected-Instance")
	switch {
	case expected != "" && expected != self:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request did not arrive whole, and does not run
	}
	if s.queued.Add(1) > slots+queue {
		s.queued.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	s.fleet.noteRun(run{
		id: id, service: s.machine.service, server: self, method: r.Method, target: r.RequestURI,
		caller: r.Header.Get("X-Caller-Service"), at: time.Now(),
	})
	if s.began != nil {
		s.began(r)
	}
	if s.crashes != nil && s.crashes(r) {
		s.crash(2 * time.Second)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.after != nil && s.after(r) {
		s.fleet.note("lost     id=%s at=%s its answer is lost", id, self)
		panic(http.ErrAbortHandler)
	}
	digest := sha256.Sum256(append([]byte(id+r.RequestURI), body...))
	answer := self + " " + hex.EncodeToString(digest[:]) + "\n"
	w.Header().Set("X-Server-Signature", hex.EncodeToString(digest[:8]))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}
