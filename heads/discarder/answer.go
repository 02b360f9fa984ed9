package discarder

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// begin is how the heads begin that are followed.
const begin = "HTTP/1.1 "

const (
	lineEnd            = "\r\n"
	switchingProtocols = http.StatusSwitchingProtocols
	// statusLength is the length of a status in digits.
	statusLength = 3
)

// answer is what a head tells of its answer.
type answer struct {
	status int
	// id is the identifier of the request; empty if the head has none.
	id string
	// framed is set if the head tells where the body ends, chunked if it comes in chunks, and
	// bodyless if there is none.
	framed, chunked, bodyless bool
	// length is the length of the body, or 0 if it comes in chunks.
	length int64
}

// isBegin reports whether a head, of which a part may be missing, begins as one of HTTP/1.1.
func isBegin(head []byte) bool {
	n := min(len(head), len(begin))
	return string(head[:n]) == begin[:n]
}

// parse parses a whole head, whose identifier is in the header with a name. It accepts less than
// net/http does: lines that readers could understand differently are not.
func parse(head []byte, name string) (a answer, ok bool) {
	text, found := strings.CutSuffix(string(head), lineEnd+lineEnd)
	if !found {
		return answer{}, false
	}
	lines := strings.Split(text, lineEnd)
	if a.status, ok = parseStatus(lines[0]); !ok {
		return answer{}, false
	}
	var ids, lengths, encodings []string
	for _, line := range lines[1:] {
		field, value, found := strings.Cut(line, ":")
		if !found || !isToken(field) || strings.ContainsFunc(value, isControl) {
			return answer{}, false
		}
		value = strings.Trim(value, " \t")
		switch {
		case strings.EqualFold(field, name):
			ids = append(ids, value)
		case strings.EqualFold(field, "Content-Length"):
			lengths = append(lengths, value)
		case strings.EqualFold(field, "Transfer-Encoding"):
			encodings = append(encodings, value)
		case strings.EqualFold(field, "Trailer"):
			return answer{}, false
		}
	}
	if len(ids) > 1 {
		return answer{}, false
	}
	a.id = strings.Join(ids, "")
	return a.withFraming(lengths, encodings)
}

// withFraming returns the answer with the framing of its body. An odd one is not accepted.
func (a answer) withFraming(lengths, encodings []string) (answer, bool) {
	if len(lengths)+len(encodings) > 1 {
		return answer{}, false
	}
	for _, value := range lengths {
		length, err := strconv.ParseUint(value, 10, 63)
		if err != nil {
			return answer{}, false
		}
		a.framed, a.length = true, int64(length)
	}
	for _, value := range encodings {
		if !strings.EqualFold(value, "chunked") {
			return answer{}, false
		}
		a.framed, a.chunked = true, true
	}
	switch a.status {
	case http.StatusNoContent:
		if len(encodings) > 0 || a.length > 0 {
			return answer{}, false
		}
		a.framed, a.bodyless = true, true
	case http.StatusNotModified:
		if len(encodings) > 0 {
			return answer{}, false
		}
		// The length is that of the body which the answer stands for.
		a.framed, a.bodyless, a.length = true, true, 0
	}
	return a, true
}

// parseStatus parses the first line of a head.
func parseStatus(line string) (status int, ok bool) {
	rest, found := strings.CutPrefix(line, begin)
	if !found || strings.ContainsFunc(rest, isControl) {
		return 0, false
	}
	digits, _, _ := strings.Cut(rest, " ")
	number, err := strconv.ParseUint(digits, 10, 16)
	if err != nil || len(digits) != statusLength {
		return 0, false
	}
	return int(number), number >= http.StatusContinue
}

// isToken reports whether the name of a field is a token.
func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(c)) {
			return false
		}
	}
	return name != ""
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
