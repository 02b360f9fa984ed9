package discarder_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowsliptally.example/cowsliptally/heads/discarder"
)

const name = "X-Request"

// answer returns an answer with a length.
func answer(id, body string, lines ...string) string {
	lines = append([]string{"HTTP/1.1 200 OK", name + ": " + id, fmt.Sprint("Content-Length: ", len(body))}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// chunked returns an answer in chunks.
func chunked(id, chunks string) string {
	return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + strings.ToLower(name) + ":" + id + "\r\n\r\n" + chunks
}

func bodyless(status, id string, lines ...string) string {
	lines = append([]string{"HTTP/1.1 " + status, name + ": " + id}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// newSecond returns the discarder of a connection over which the request first was answered and
// the request own was sent.
func newSecond(t interface{ Fatalf(string, ...any) }) *discarder.Discarder {
	d := discarder.New(name)
	first := answer("first", "x")
	d.Expect("first", false)
	if passed, err := d.Next([]byte(first)); err != nil || string(passed) != first {
		t.Fatalf("%q is passed on, %v", passed, err)
	}
	if !d.Expect("own", false) {
		t.Fatalf("the connection is refused")
	}
	return d
}

// follow gives parts of bytes to a discarder, and ends the connection.
func follow(d *discarder.Discarder, parts ...[]byte) (string, error) {
	var all bytes.Buffer
	for _, part := range parts {
		passed, err := d.Next(bytes.Clone(part))
		if err != nil {
			return all.String(), err
		}
		all.Write(passed)
	}
	all.Write(d.Flush())
	return all.String(), nil
}

// TestOnlyWholeAnswersToEarlierRequestsAreDiscarded guards against an own answer that is
// discarded, and a late one that is passed on in parts, wherever the parts of a read end.
func TestOnlyWholeAnswersToEarlierRequestsAreDiscarded(t *testing.T) {
	own := answer("own", "HTTP/1.1 200 OK\r\n"+name+": first\r\n\r\n")
	interim := "HTTP/1.1 102 Processing\r\n" + name + ": first\r\n\r\n"
	for given, passed := range map[string]string{
		own:                        own,
		own + answer("first", "x"): own + answer("first", "x"), // net/http closes the connection
		answer("first", "") + own:  own,
		answer("first", "\r\n\r\nHTTP/1.1") + own:                                 own,
		answer("first", "x", "Connection: close") + answer("first", "y") + own:    own,
		chunked("first", "0A\r\n0123456789\r\n0\r\n\r\n") + own:                   own,
		chunked("first", "a\r\n0\r\n\r\nabcde\r\n0\r\n\r\n") + own:                own,
		bodyless("204 No Content", "first") + own:                                 own,
		bodyless("304 Not Modified", "first", "Content-Length: 7") + own:          own,
		bodyless("503 Service Unavailable", "first", "Content-Length: 0") + own:   own,
		interim + answer("first", "x") + interim + own:                            interim + interim + own,
		answer("first", "x") + chunked("own", "1\r\nx\r\n0\r\n\r\n"):              chunked("own", "1\r\nx\r\n0\r\n\r\n"),
		answer("first", "x") + bodyless("204 No Content", "own"):                  bodyless("204 No Content", "own"),
		answer("first", "x") + "HTTP/1.1 200 OK\r\n\r\nx":                         "HTTP/1.1 200 OK\r\n\r\nx",
		answer("first", "x") + answer("other", "x"):                               answer("other", "x"),
		answer("first", "x") + answer("other", "x") + answer("first", "x"):        answer("other", "x") + answer("first", "x"),
		answer("other", "x") + own:                                                answer("other", "x") + own,
		answer("", "x") + own:                                                     answer("", "x") + own,
		answer("first", "x", name+": own") + own:                                  answer("first", "x", name+": own") + own,
		answer("first", "x", "Content-Length: 1") + own:                           answer("first", "x", "Content-Length: 1") + own,
		answer("first", "x", "Transfer-Encoding: chunked") + own:                  answer("first", "x", "Transfer-Encoding: chunked") + own,
		answer("first", "x", " folded") + own:                                     answer("first", "x", " folded") + own,
		answer("first", "x", "no colon") + own:                                    answer("first", "x", "no colon") + own,
		answer("first", "x", "a b: c") + own:                                      answer("first", "x", "a b: c") + own,
		answer("first", "x", "A: b\nC: d") + own:                                  answer("first", "x", "A: b\nC: d") + own,
		bodyless("200 OK", "first") + own:                                         bodyless("200 OK", "first") + own,
		bodyless("200 OK", "first", "Content-Length: -1") + own:                   bodyless("200 OK", "first", "Content-Length: -1") + own,
		bodyless("200 OK", "first", "Transfer-Encoding: gzip, chunked") + own:     bodyless("200 OK", "first", "Transfer-Encoding: gzip, chunked") + own,
		bodyless("204 No Content", "first", "Content-Length: 1") + own:            bodyless("204 No Content", "first", "Content-Length: 1") + own,
		bodyless("101 Switching Protocols", "first") + answer("first", "x") + own: bodyless("101 Switching Protocols", "first") + answer("first", "x") + own,
		"HTTP/1.0" + answer("first", "x")[8:] + own:                               "HTTP/1.0" + answer("first", "x")[8:] + own,
		"\r\n" + answer("first", "x") + own:                                       "\r\n" + answer("first", "x") + own,
		"HTTP/1.1 2000 OK" + answer("first", "x")[15:] + own:                      "HTTP/1.1 2000 OK" + answer("first", "x")[15:] + own,
		answer("first", "x") + own[:30]:                                           own[:30], // the connection ends
		answer("first", "x")[:30]:                                                 answer("first", "x")[:30],
		answer("first", "", "A: "+strings.Repeat("x", 64<<10))[:70<<10>>1] + "\n": answer("first", "", "A: "+strings.Repeat("x", 64<<10))[:70<<10>>1] + "\n",
		answer("first", "", "A: "+strings.Repeat("x", 64<<10)) + own:              answer("first", "", "A: "+strings.Repeat("x", 64<<10)) + own,
		strings.Repeat(answer("first", "x"), 16) + own:                            own,
		strings.Repeat(answer("first", "x"), 17) + own:                            answer("first", "x") + own,
		bodyless("200 OK", "first", fmt.Sprint("Content-Length: ", 4<<20)) + "x":  bodyless("200 OK", "first", fmt.Sprint("Content-Length: ", 4<<20)) + "x",
	} {
		is := is.New(t)
		got, err := follow(newSecond(t), []byte(given))
		is.NoErr(err)
		is.Equal(got, passed)
		for i := range min(len(given), 1<<10) {
			got, err := follow(newSecond(t), []byte(given[:i]), []byte(given[i:]))
			is.NoErr(err)
			is.Equal(got, passed) // in two parts
		}
		d, got := newSecond(t), ""
		for i := range given {
			part, err := d.Next([]byte(given[i : i+1]))
			is.NoErr(err)
			got += string(part)
		}
		is.Equal(got+string(d.Flush()), passed) // byte by byte
	}
}

// TestOddChunksEndTheConnection guards against an own answer that is looked for behind a discarded
// one whose end is not known, or which does not end.
func TestOddChunksEndTheConnection(t *testing.T) {
	for _, chunks := range []string{
		"x\r\n", "1\r\nxy", "\r\n", "1\nx\r\n", "1 \r\nx\r\n", "1;a=b\r\nx\r\n", "-1\r\n", "000000001\r\nx\r\n",
		"0\r\nA: b\r\n\r\n", "0\r\n\n", strings.Repeat("100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n", 4),
	} {
		is := is.New(t)
		_, err := follow(newSecond(t), []byte(chunked("first", chunks)+answer("own", "")))
		is.True(errors.Is(err, discarder.ErrFraming))
	}
}

// TestAnswersToHeadHaveNoBody guards against an answer that is taken for the body of one to HEAD.
func TestAnswersToHeadHaveNoBody(t *testing.T) {
	is := is.New(t)
	d := discarder.New(name)
	head := bodyless("200 OK", "head", "Content-Length: 100")
	d.Expect("head", true)
	got, err := d.Next([]byte(head))
	is.NoErr(err)
	is.Equal(string(got), head)
	is.True(d.Expect("second", false)) // its answer has ended
	own := answer("second", "x")
	got, err = d.Next([]byte(own))
	is.NoErr(err)
	is.Equal(string(got), own)
	is.True(d.Expect("third", false))
	got, err = d.Next([]byte(head + answer("third", "x")))
	is.NoErr(err)
	is.Equal(string(got), head+answer("third", "x"))
	is.Equal(d.Discarded(), 0)
}

// TestUnaskedBytesEndTheUse guards against a request on a connection over which bytes came that no
// request asked for: they may be a part of an answer.
func TestUnaskedBytesEndTheUse(t *testing.T) {
	for _, parts := range [][]string{{answer("first", "x") + "H"}, {answer("first", "x"), "H"}} {
		is := is.New(t)
		d := discarder.New(name)
		is.True(d.Expect("first", false))
		for _, part := range parts {
			passed, err := d.Next([]byte(part))
			is.NoErr(err)
			is.Equal(string(passed), part)
		}
		is.True(!d.Expect("own", false))
	}
}

// TestRememberedRequestsAreBounded guards against a connection whose memory grows with its use.
func TestRememberedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	d := discarder.New(name)
	for i := range 65 {
		id := fmt.Sprint("r", i)
		is.True(d.Expect(id, false))
		_, err := d.Next([]byte(answer(id, "x")))
		is.NoErr(err)
	}
	is.True(d.Expect("own", false))
	got, err := follow(d, []byte(answer("r2", "x")+answer("r64", "x")+answer("r1", "x")+answer("own", "x")))
	is.NoErr(err)
	is.Equal(got, answer("r1", "x")+answer("own", "x"))
}

// read returns the next answer as net/http parses it, and its length in bytes; nil if it is not
// whole.
func read(content []byte) (*http.Response, int) {
	rest := bytes.NewReader(content)
	reader := bufio.NewReader(rest)
	r, err := http.ReadResponse(reader, nil)
	if err != nil || r.Close && r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		return nil, 0
	}
	if r.StatusCode < http.StatusOK && r.StatusCode != http.StatusSwitchingProtocols {
		return r, len(content) - rest.Len() - reader.Buffered()
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, 0
	}
	return r, len(content) - rest.Len() - reader.Buffered()
}

// check compares a discarder with the parser of net/http: what is passed on is all bytes but whole
// answers to the request first in front of that to the request own.
func check(t interface{ Fatalf(string, ...any) }, content []byte, passed string) {
	for rest := content; ; {
		if passed == string(rest) {
			return
		}
		r, n := read(rest)
		if r == nil {
			t.Fatalf("%q is passed on as %q", content, passed)
		}
		if r.StatusCode < http.StatusOK {
			if !strings.HasPrefix(passed, string(rest[:n])) {
				t.Fatalf("an interim answer of %q is not passed on: %q", content, passed)
			}
			passed = passed[n:]
		} else if ids := r.Header.Values(name); len(ids) != 1 || ids[0] != "first" {
			t.Fatalf("an answer to %q of %q is discarded: %q", ids, content, passed)
		}
		rest = rest[n:]
	}
}

// TestAnswersEndWhereNetHTTPEndsThem guards against an end of an answer that net/http sees elsewhere.
func TestAnswersEndWhereNetHTTPEndsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SampledFrom([]string{
			answer("first", "x"), answer("first", ""), answer("own", "x"), answer("other", "x"), answer("", "x"),
			chunked("first", "1\r\nx\r\n0\r\n\r\n"), chunked("first", "0\r\n\r\n"), chunked("own", "0\r\n\r\n"),
			bodyless("204 No Content", "first"), bodyless("304 Not Modified", "first", "Content-Length: 3"),
			bodyless("102 Processing", "first"), bodyless("102 Processing", "own"), bodyless("200 OK", "first"), "x", "\r\n",
		})
		content := []byte(strings.Join(rapid.SliceOfN(part, 1, 6).Draw(t, "answers"), ""))
		whole, err := follow(newSecond(t), content)
		if err != nil {
			t.Fatalf("%v", err)
		}
		check(t, content, whole)
		var parts [][]byte
		for rest := content; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "size")
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		if got, _ := follow(newSecond(t), parts...); got != whole {
			t.Fatalf("%q in parts is passed on as %q, not %q", content, got, whole)
		}
	})
}

// FuzzDiscarder compares any bytes with the parser of net/http, whole and in two parts.
func FuzzDiscarder(f *testing.F) {
	for _, content := range []string{
		answer("first", "x") + answer("own", "y"), chunked("first", "1\r\nx\r\n0\r\nA: b\r\n\r\n") + answer("own", "y"),
		bodyless("204 No Content", "first") + bodyless("102 Processing", "own") + chunked("own", "0\r\n\r\n"),
		bodyless("304 Not Modified", "first") + answer("other", "x"),
	} {
		f.Add([]byte(content), 30)
	}
	f.Fuzz(func(t *testing.T, content []byte, cut int) {
		whole, err := follow(newSecond(t), content)
		cut = max(0, min(cut, len(content)))
		parts, partsErr := follow(newSecond(t), content[:cut], content[cut:])
		if !errors.Is(partsErr, err) || err == nil && parts != whole {
			t.Fatalf("%q in parts is passed on as %q, %v, not %q, %v", content, parts, partsErr, whole, err)
		}
		if err != nil || whole == "" {
			return // the connection ends, perhaps within an answer that is discarded
		}
		check(t, content, whole)
	})
}
