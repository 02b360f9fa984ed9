// Package weigher estimates the memory that the heads of HTTP/1 requests and answers cost,
// from their first byte. It addresses heads of legal size with very many short or odd lines:
// a line of four bytes costs a hundred times its length once it is an entry of a map.
package weigher

import (
	"bytes"
	"net/http"
)

const (
	// byteCost is the memory for one byte of a head: in the buffer of the connection, as a
	// string, and as a string and in a buffer of the request that is sent on.
	byteCost = 4
	// lineCost is the memory for one line. An entry in the maps of a request and of the one
	// that is sent on was measured at 185 bytes together (go1.26), and a request that is begun
	// before its turn is parsed and copied once more.
	lineCost = 400
	// startSize is the length of the beginning of a line that is kept to recognise it.
	startSize = 48
)

// The lines after which a body follows, and the first line of HTTP/2.
var (
	lengthName   = []byte("content-length:")
	encodingName = []byte("transfer-encoding:")
	preface      = []byte("PRI * HTTP/2.0")
	protocol     = []byte("HTTP/1.")
)

// classIndex is the index of the class of the status in the first line of an answer.
const classIndex = len("HTTP/1.1 ")

// Weigher follows the bytes of one head. Its zero value has seen none. A copy continues on its
// own.
type Weigher struct {
	// first and fields are the lengths of the first line and of all others, in bytes.
	first, fields int
	// lines counts the complete lines without the first one.
	lines int
	// begun is set once the first line is complete.
	begun bool
	body  Body
	// interim is set for an answer that another one follows.
	interim bool
	// length is the length of the line that is not complete, and start its beginning.
	length int
	start  [startSize]byte
}

// Next follows bytes up to the end of the head and returns how many they were, and whether the
// head has ended.
func (w *Weigher) Next(b []byte) (n int, ended bool) {
	for n < len(b) {
		part := b[n:]
		end := bytes.IndexByte(part, '\n')
		if end >= 0 {
			part = part[:end+1]
		}
		n += len(part)
		w.add(part)
		if end >= 0 && w.endLine() {
			return n, true
		}
	}
	return n, false
}

// add follows bytes of one line.
func (w *Weigher) add(part []byte) {
	if w.length < startSize {
		copy(w.start[w.length:], part)
	}
	w.length += len(part)
	if w.begun {
		w.fields += len(part)
		return
	}
	w.first += len(part)
}

// endLine ends a line and reports whether the head ends with it.
func (w *Weigher) endLine() bool {
	empty := w.length == 1 || w.length == 2 && w.start[0] == '\r'
	start, cut := w.start[:min(w.length, startSize)], w.length > startSize
	w.length = 0
	if !w.begun {
		// Empty lines before a head count as part of its first line.
		w.begun = !empty
		if bytes.HasPrefix(start, preface) {
			w.body = Body{framing: framingUnknown}
		}
		w.interim = len(start) > classIndex && start[classIndex] == '1' && bytes.HasPrefix(start, protocol)
		return false
	}
	if empty {
		return true
	}
	w.lines++
	switch start[0] {
	case 'c', 'C':
		if value, found := valueOf(start, lengthName); found {
			w.body = w.body.withLength(value, cut)
		}
	case 't', 'T':
		if value, found := valueOf(start, encodingName); found {
			w.body = w.body.withEncoding(value, cut)
		}
	}
	return false
}

// valueOf returns the value of a line if it has a name.
func valueOf(line, name []byte) (value []byte, found bool) {
	if len(line) < len(name) || !bytes.EqualFold(line[:len(name)], name) {
		return nil, false
	}
	return bytes.TrimSpace(line[len(name):]), true
}

// Begun reports whether a byte of the head was followed.
func (w *Weigher) Begun() bool { return w.first > 0 }

// First returns the length of the first line so far, in bytes.
func (w *Weigher) First() int { return w.first }

// Fields returns the length of all lines after the first one so far, in bytes.
func (w *Weigher) Fields() int { return w.fields }

// Body returns the body that follows the head.
func (w *Weigher) Body() Body { return w.body }

// IsInterim reports whether the head is that of an answer with status 1xx.
func (w *Weigher) IsInterim() bool { return w.interim }

// Weight returns the memory for the head so far, in bytes.
func (w *Weigher) Weight() int64 {
	return byteCost*int64(w.first+w.fields) + lineCost*int64(w.lines)
}

// Weight returns the memory for the parsed head of a request, in bytes.
func Weight(r *http.Request) int64 {
	size, lines := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		lines += len(values)
		size += len(name) * len(values)
		for _, value := range values {
			size += len(value)
		}
	}
	return byteCost*int64(size) + lineCost*int64(lines)
}
