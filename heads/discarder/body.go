package discarder

import "strconv"

// part is a part of a body in chunks.
type part int

const (
	partNone part = iota
	partSize
	partSizeEnd
	partData
	partDataEnd
	partLastEnd
)

// maxSize bounds the digits of a chunk's size.
const maxSize = 8

// body follows the body of an answer that is discarded. It accepts neither extensions of chunks nor
// trailers, which readers could understand differently.
type body struct {
	part part
	// left is the number of bytes that are left of the body or of a chunk.
	left int64
	// line is the part of a line that was followed.
	line string
}

// newBody returns the body behind a head.
func newBody(a answer) body {
	if a.chunked {
		return body{part: partSize}
	}
	return body{left: a.length}
}

// isEnded reports whether no byte of the body follows.
func (b *body) isEnded() bool { return b.part == partNone && b.left == 0 }

// next follows bytes up to the end of the body and returns how many they were, or false if they
// are odd.
func (b *body) next(p []byte) (n int, ok bool) {
	for n < len(p) && !b.isEnded() {
		if b.left > 0 && (b.part == partNone || b.part == partData) {
			size := min(b.left, int64(len(p)-n))
			n, b.left = n+int(size), b.left-size
			if b.left == 0 && b.part == partData {
				b.part = partDataEnd
			}
			continue
		}
		if !b.nextByte(p[n]) {
			return n, false
		}
		n++
	}
	return n, true
}

// nextByte follows a byte of a line between chunks.
func (b *body) nextByte(c byte) bool {
	if b.part == partSize && c != '\r' {
		b.line += string(rune(c))
		return len(b.line) <= maxSize
	}
	if b.part == partSize {
		size, err := strconv.ParseUint(b.line, 16, 63)
		b.part, b.left, b.line = partSizeEnd, int64(size), "\r"
		return err == nil
	}
	b.line += string(rune(c))
	switch b.line {
	case "\r":
		return true
	case lineEnd:
		b.line = ""
		b.endLine()
		return true
	default:
		return false
	}
}

// endLine moves to the part behind the end of a line.
func (b *body) endLine() {
	switch {
	case b.part == partSizeEnd && b.left > 0:
		b.part = partData
	case b.part == partSizeEnd:
		b.part = partLastEnd
	case b.part == partDataEnd:
		b.part = partSize
	default:
		b.part = partNone
	}
}
