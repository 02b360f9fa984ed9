package weigher

import (
	"bytes"
	"math"
	"strconv"
)

// framing is how the end of a body is told.
type framing int

const (
	framingNone framing = iota
	framingLength
	framingChunks
	// framingUnknown is that of bytes until the end of the connection.
	framingUnknown
)

// part is a part of a body in chunks.
type part int

const (
	partSize part = iota
	partData
	// partEnd is the end of the line behind a chunk, and partTrailer a line behind the last.
	partEnd
	partTrailer
)

// maxSizeDigits bounds the digits of the size of a chunk, as net/http does.
const maxSizeDigits = 16

// Body follows the bytes of a body, so that the next head is recognised. Its zero value is that
// of a head without a body.
type Body struct {
	framing framing
	// left is the number of bytes that are left of the body or of a chunk.
	left int64
	part part
	// digits counts the digits of a chunk's size; done is set after them.
	digits int
	done   bool
	// length is the length of the trailer's line so far.
	length int
}

// IsEnded reports whether no byte of the body follows.
func (b *Body) IsEnded() bool {
	return b.framing == framingNone || b.framing == framingLength && b.left == 0
}

// IsEncoded reports whether the head names a transfer encoding, or a length that is none.
func (b *Body) IsEncoded() bool { return b.framing == framingChunks || b.framing == framingUnknown }

// withLength returns the body with a length; the encoding takes precedence.
func (b Body) withLength(value []byte, cut bool) Body {
	if b.framing == framingChunks || b.framing == framingUnknown {
		return b
	}
	length, err := strconv.ParseUint(string(value), 10, 63)
	if cut || err != nil || b.framing == framingLength && b.left != int64(length) {
		return Body{framing: framingUnknown}
	}
	return Body{framing: framingLength, left: int64(length)}
}

// withEncoding returns the body with an encoding.
func (b Body) withEncoding(value []byte, cut bool) Body {
	if cut || b.framing == framingChunks || !bytes.EqualFold(value, []byte("chunked")) {
		return Body{framing: framingUnknown}
	}
	return Body{framing: framingChunks}
}

// Next follows bytes up to the end of the body and returns how many they were.
func (b *Body) Next(p []byte) (n int) {
	switch b.framing {
	case framingLength:
		n = int(min(b.left, int64(len(p))))
		b.left -= int64(n)
		return n
	case framingChunks:
		for n < len(p) && b.framing == framingChunks {
			n += b.nextChunk(p[n:])
		}
		if b.framing == framingUnknown {
			return len(p)
		}
		return n
	case framingUnknown:
		return len(p)
	default:
		return 0
	}
}

// nextChunk follows bytes of one part of a chunk and returns how many they were.
func (b *Body) nextChunk(p []byte) int {
	switch b.part {
	case partData:
		n := int(min(b.left, int64(len(p))))
		if b.left -= int64(n); b.left == 0 {
			b.part = partEnd
		}
		return n
	case partSize:
		b.addSize(p[0])
	case partEnd:
		switch p[0] {
		case '\r':
		case '\n':
			b.part = partSize
		default:
			b.framing = framingUnknown
		}
	case partTrailer:
		b.addTrailer(p[0])
	}
	return 1
}

// addSize follows a byte of the line with a chunk's size.
func (b *Body) addSize(c byte) {
	digit := bytes.IndexByte([]byte("0123456789abcdef"), c|0x20)
	switch {
	case c == '\n' && b.digits == 0:
		b.framing = framingUnknown
	case c == '\n':
		b.part, b.length = partData, 0
		if b.left == 0 {
			b.part = partTrailer
		}
		b.digits, b.done = 0, false
	case b.done:
	case digit >= 0 && b.digits < maxSizeDigits && b.left <= math.MaxInt64>>4:
		b.left = b.left<<4 | int64(digit)
		b.digits++
	case c == '\r' || c == ';' || c == ' ' || c == '\t':
		b.done = true
	default:
		b.framing = framingUnknown
	}
}

// addTrailer follows a byte of the lines behind the last chunk, which end with an empty one.
func (b *Body) addTrailer(c byte) {
	switch {
	case c == '\n' && b.length == 0:
		*b = Body{}
	case c == '\n':
		b.length = 0
	case c != '\r':
		b.length++
	}
}
