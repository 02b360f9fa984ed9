package rig

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The store's figures, as in the settings of the nodes.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	appendTime   = 4 * time.Millisecond
	bytesPerS    = 20e6
	maxWaiting   = 2 * time.Second
	defaultMaxKB = 1024
	pageItems    = 500
	pageBytes    = 1 << 20
)

// Store is the platform's metadata store: keyed topics with one partition each, with the calls
// that the nodes use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	// records holds all records; the store's history is longer than a case.
	records [][]byte
	// newest holds the offset of the newest record of each key.
	newest map[string]int
	// appended is closed at the next append.
	appended chan struct{}
	// freeAt is when the partition has done the appends that it has accepted.
	freeAt time.Time
	// producers holds the last append of each producer.
	producers map[string]*producer
}

type producer struct {
	epoch, sequence int64
	// answers holds the answers to the last five appends.
	answers map[int64]map[string]int
}

func newStore() *Store { return &Store{topics: make(map[string]*topic)} }

func (s *Store) topic(name string) *topic {
	t, found := s.topics[name]
	if !found {
		t = &topic{newest: make(map[string]int), appended: make(chan struct{}), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

// Put writes a record of a keyed topic on behalf of the operator, and returns once the store has
// acknowledged it.
func (s *Store) Put(name, key, value string) {
	record := append([]byte{byte(len(key))}, key...)
	record = append(record, value...)
	if len(record) > recordBytes {
		panic("the operator's record is longer than record_bytes")
	}
	for {
		if status, _ := s.append(name, [][]byte{record}, nil); status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// append waits for its turn in the partition and appends records.
func (s *Store) append(name string, records [][]byte, query url.Values) (int, map[string]any) {
	size := 0
	for _, record := range records {
		size += len(record)
	}
	s.mu.Lock()
	t := s.topic(name)
	now := time.Now()
	if t.freeAt.Before(now) {
		t.freeAt = now
	}
	if t.freeAt.Sub(now) > maxWaiting {
		s.mu.Unlock()
		return http.StatusServiceUnavailable, nil
	}
	t.freeAt = t.freeAt.Add(appendTime + time.Duration(float64(size)/bytesPerS*float64(time.Second)))
	wait := t.freeAt.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := query.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]any{"end": len(t.records)}
	}
	by := query.Get("producer")
	epoch, _ := strconv.ParseInt(query.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(query.Get("sequence"), 10, 64)
	if by != "" {
		p, found := t.producers[by]
		switch {
		case found && epoch < p.epoch:
			return http.StatusConflict, map[string]any{"why": "fenced"}
		case !found || epoch > p.epoch:
			t.producers[by] = &producer{epoch: epoch, sequence: sequence - 1, answers: make(map[int64]map[string]int)}
		case p.answers[sequence] != nil:
			return http.StatusOK, map[string]any{"offset": p.answers[sequence]["offset"], "end": p.answers[sequence]["end"]}
		}
		p = t.producers[by]
		if sequence != p.sequence+1 {
			return http.StatusConflict, map[string]any{"why": "seq", "sequence": p.sequence + 1}
		}
	}
	offset := len(t.records)
	for _, record := range records {
		t.records = append(t.records, record)
		if len(record) > 0 && 1+int(record[0]) <= len(record) {
			t.newest[string(record[1:1+int(record[0])])] = len(t.records) - 1
		}
	}
	if by != "" {
		p := t.producers[by]
		p.sequence = sequence
		p.answers[sequence] = map[string]int{"offset": offset, "end": len(t.records)}
		delete(p.answers, sequence-5)
	}
	close(t.appended)
	t.appended = make(chan struct{})
	return http.StatusOK, map[string]any{"offset": offset, "end": len(t.records)}
}

// ServeHTTP serves one call of a node.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /cowsliptally/log-append":
		s.serveAppend(w, r, query)
	case "GET /cowsliptally/log-read":
		s.serveRead(w, r, query)
	case "GET /cowsliptally/log-newest":
		s.serveNewest(w, query)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, query url.Values) {
	content, err := io.ReadAll(io.LimitReader(r.Body, callBytes+1<<16))
	if err != nil {
		return
	}
	if name := query.Get("topic"); name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	total := 0
	for len(content) > 0 {
		if len(content) < 4 || int(binary.BigEndian.Uint32(content)) > len(content)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := int(binary.BigEndian.Uint32(content))
		records = append(records, content[4:4+size])
		content = content[4+size:]
		if total += size; size > recordBytes || total > callBytes {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	status, body := s.append(query.Get("topic"), records, query)
	answerJSON(w, status, body)
}

// serveRead answers with the end of the partition, its first offset, and as many records as
// max_kb allows, one at least.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, query url.Values) {
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = defaultMaxKB
	}
	time.Sleep(appendTime)
	limit := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer limit.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		ready, appended := len(t.records) > from, t.appended
		s.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-appended:
		case <-limit.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	size := 0
	for offset := from; offset < len(t.records); offset++ {
		if size += 4 + len(t.records[offset]); size > maxKB<<10 && offset > from {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[offset])))
		body = append(body, t.records[offset]...)
	}
	s.mu.Unlock()
	_, _ = w.Write(body)
}

func (s *Store) serveNewest(w http.ResponseWriter, query url.Values) {
	time.Sleep(appendTime)
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		offset := t.newest[key]
		value := t.records[offset][1+len(key):]
		if size += len(value); len(items) > 0 && (len(items) == pageItems || size > pageBytes) {
			more = true
			break
		}
		if len(value) > 0 {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

func answerJSON(w http.ResponseWriter, status int, body map[string]any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(content)
}
