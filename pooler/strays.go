package pooler

import (
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/heads/discarder"
)

// strays removes late answers to earlier requests, called strays, from what a connection reads. Its
// zero value removes none.
type strays struct {
	mu sync.Mutex
	// echo is the header with the identifier of the request.
	echo string
	// discarder is nil if the first exchange did not ask for it.
	discarder *discarder.Discarder
	// turn counts the exchanges, and strayed is that in which an answer was discarded; 0 if none was.
	turn, strayed int
	// discarded counts the answers that were discarded.
	discarded metrics.Counter
	// pending is what did not fit into the bytes of a read. Only the goroutine that reads uses it.
	pending []byte
}

// begin notes that an exchange begins and returns its turn, or false if the connection must not
// be used again.
func (s *strays) begin(m Message, reused bool) (turn int, sound bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.strayed > 0 {
		return 0, false
	}
	s.turn++
	if !reused && m.Echo != "" {
		s.echo, s.discarder = m.Echo, discarder.New(m.Echo)
	}
	if s.discarder == nil {
		return s.turn, true
	}
	if m.Echo != s.echo {
		s.discarder.Stop()
	}
	return s.turn, s.discarder.Expect(m.ID, isHead(m.Request))
}

// strayedIn reports whether an answer was discarded in an exchange.
func (s *strays) strayedIn(turn int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return turn > 0 && s.strayed == turn
}

// read reads from a connection until there are bytes to be passed on.
func (s *strays) read(c *conn, b []byte) (int, error) {
	for {
		n, held, err := s.readOnce(c, b)
		if !c.answer.hold(held) {
			return 0, errHeads
		}
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
	}
}

// readOnce reads once. It returns how many bytes are passed on, and how many are held back.
func (s *strays) readOnce(c *conn, b []byte) (n, held int, err error) {
	if len(s.pending) == 0 {
		n, err = c.receive(b)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.discarder == nil {
		return n, 0, err
	}
	passed := s.pending
	if len(passed) == 0 {
		if passed, err = s.next(b[:n], err); err != nil && len(passed) == 0 {
			return 0, 0, err
		}
	}
	n = copy(b, passed)
	if s.pending = passed[n:]; len(s.pending) > 0 {
		err = nil // the next read meets it again
	} else {
		s.pending = nil
	}
	return n, s.discarder.Held() + len(s.pending), err
}

// next returns what is to be passed on of bytes that a read returned with an error. The caller
// holds mu.
func (s *strays) next(b []byte, readErr error) (passed []byte, err error) {
	before := s.discarder.Discarded()
	passed, err = s.discarder.Next(b)
	if more := s.discarder.Discarded() - before; more > 0 {
		s.discarded.Inc(int64(more))
		s.strayed = s.turn
	}
	if err != nil {
		return nil, err
	}
	if readErr != nil {
		passed = append(passed[:len(passed):len(passed)], s.discarder.Flush()...)
	}
	return passed, readErr
}

// isHead reports whether the answer to a request has no body.
func isHead(r *http.Request) bool { return r.Method == http.MethodHead }
