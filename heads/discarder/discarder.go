// Package discarder removes late answers to earlier requests from what a kept HTTP/1.1 connection
// reads. A backend server may send an answer twice, the second time in front of the answer to the
// next request on the connection.
package discarder

import (
	"errors"
	"hash/maphash"
	"slices"

	"cowsliptally.example/cowsliptally/heads/weigher"
)

const (
	// maxRequests bounds the requests of a connection that are remembered: a repeated answer is one
	// of the last requests'.
	maxRequests = 64
	// maxAnswers and maxBytes bound the discarded answers of a connection and their bytes, heads
	// included, so that a backend server that repeats answers without end is cut off. The bytes
	// allow for a few of the largest answers that an owner holds whole.
	maxAnswers = 16
	maxBytes   = 4 << 20
	// maxHead bounds the bytes of a head that are held back, as net/http does for the pooler.
	maxHead = 64 << 10
)

// ErrFraming is the error of an answer that is being discarded and turns out to be too long, or
// to have no end that can be told.
var ErrFraming = errors.New("an answer to an earlier request is too long or oddly framed")

// state is what the next bytes belong to.
type state int

const (
	// stateIdle is that of a connection without an exchange.
	stateIdle state = iota
	stateHead
	// stateOwn is in the body of the expected answer, and stateOther in one that is discarded.
	stateOwn
	stateOther
	// statePass is that of a connection that is not followed any more.
	statePass
)

// Discarder follows the answers of one connection. It is not safe for concurrent use.
type Discarder struct {
	name string
	seed maphash.Seed
	// requests holds the hashes of the identifiers of the last requests, the oldest first. The
	// answers to HEAD are not framed as their heads say, so those requests are left out.
	requests []uint64

	state state
	// unasked is set once a byte was read without an exchange.
	unasked  bool
	expected string
	// bodyless is set while the answer to HEAD is expected.
	bodyless bool
	head     weigher.Weigher
	// held is the part of a head that was read so far.
	held []byte
	// own is the body of the expected answer, and other that of one that is discarded.
	own   weigher.Body
	other body

	answers, bytes int
}

// New returns the discarder of a new connection, over which requests are answered with their
// identifier in the header with a name.
func New(name string) *Discarder {
	return &Discarder{name: name, seed: maphash.MakeSeed()}
}

// Expect begins an exchange: the answer to the request with an identifier is to be passed on. The
// answer to HEAD is bodyless. It reports false if bytes were read before that no request asked
// for: the connection must not be used.
func (d *Discarder) Expect(id string, bodyless bool) bool {
	if d.state != stateIdle {
		d.state = statePass
		return !d.unasked
	}
	d.state, d.expected, d.bodyless = stateHead, id, bodyless
	d.head = weigher.Weigher{}
	if bodyless {
		return true
	}
	if len(d.requests) == maxRequests {
		d.requests = slices.Delete(d.requests, 0, 1)
	}
	d.requests = append(d.requests, maphash.String(d.seed, id))
	return true
}

// Stop passes on all bytes from now on.
func (d *Discarder) Stop() { d.state = statePass }

// Discarded returns the number of answers that were discarded, or are being.
func (d *Discarder) Discarded() int { return d.answers }

// Held returns the number of bytes that are held back.
func (d *Discarder) Held() int { return len(d.held) }

// Flush returns the bytes that are held back, and stops.
func (d *Discarder) Flush() []byte {
	held := d.held
	d.held, d.state = nil, statePass
	return held
}

// Next follows bytes and returns those to be passed on, which may lie in b. After an error no
// byte may be passed on.
func (d *Discarder) Next(b []byte) (passed []byte, err error) {
	for len(b) > 0 {
		switch d.state {
		case stateHead:
			var head []byte
			head, b = d.nextHead(b)
			passed = join(passed, head)
		case stateOwn:
			n := d.own.Next(b)
			passed, b = join(passed, b[:n]), b[n:]
			d.endOwn()
		case stateOther:
			n, ok := d.other.next(b)
			b = b[n:]
			if d.bytes += n; !ok || d.bytes > maxBytes {
				return nil, ErrFraming
			}
			d.endOther()
		default:
			d.unasked = d.unasked || d.state == stateIdle
			d.state = statePass
			return join(passed, b), nil
		}
	}
	return passed, nil
}

// nextHead follows bytes up to the end of a head. It returns those to be passed on and those
// that follow.
func (d *Discarder) nextHead(b []byte) (passed, rest []byte) {
	n, ended := d.head.Next(b)
	head, rest := b[:n], b[n:]
	if len(d.held) > 0 {
		d.held = append(d.held, head...)
		head = d.held
	}
	switch {
	case len(head) > maxHead || !isBegin(head):
		d.state, d.held = statePass, nil
		return head, rest
	case !ended:
		d.held = append(d.held[:0], head...)
		return nil, rest
	}
	d.held = nil
	if d.judge(head) {
		return head, rest
	}
	return nil, rest
}

// judge decides about a whole head, and reports whether it is passed on.
func (d *Discarder) judge(head []byte) bool {
	weighed := d.head
	d.head = weigher.Weigher{}
	parsed, ok := parse(head, d.name)
	switch {
	case !ok:
		d.state = statePass
	case weighed.IsInterim():
		if parsed.status == switchingProtocols {
			d.state = statePass
		}
	case parsed.id == d.expected:
		d.beginOwn(parsed, weighed.Body())
	case d.discards(parsed, len(head)):
		d.beginOther(parsed, len(head))
		return false
	default:
		d.state = statePass
	}
	return true
}

// discards reports whether an answer is one to an earlier request, and within the bounds.
func (d *Discarder) discards(a answer, head int) bool {
	return a.id != "" && a.framed && d.answers < maxAnswers &&
		a.length <= int64(maxBytes-d.bytes-head) && slices.Contains(d.requests, maphash.String(d.seed, a.id))
}

func (d *Discarder) beginOwn(a answer, body weigher.Body) {
	switch {
	case d.bodyless || a.bodyless:
		d.own = weigher.Body{}
	case !a.framed:
		d.state = statePass
		return
	default:
		d.own = body
	}
	d.state = stateOwn
	d.endOwn()
}

func (d *Discarder) endOwn() {
	if d.own.IsEnded() {
		d.state = stateIdle
	}
}

func (d *Discarder) beginOther(a answer, head int) {
	d.answers++
	d.bytes += head
	d.state, d.other = stateOther, newBody(a)
	d.endOther()
}

func (d *Discarder) endOther() {
	if d.other.isEnded() {
		d.state = stateHead
	}
}

// join appends bytes without a change of what follows a in memory.
func join(a, b []byte) []byte {
	if len(a) == 0 {
		return b
	}
	return append(a[:len(a):len(a)], b...)
}
