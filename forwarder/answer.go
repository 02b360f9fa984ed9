package forwarder

import (
	"io"
	"net/http"
	"strconv"

	"cowsliptally.example/cowsliptally/acceptor"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/scrubber"
)

const (
	// copySize is the size of the parts in which a large answer is streamed, in bytes.
	copySize = 8 << 10
	// maxDrain bounds how much of a refusal's body is read to reuse the connection, in bytes.
	maxDrain = 4 << 10
)

// writeAnswer writes an answer to the caller. An answer that is not complete yet is
// streamed; if that fails, the connection is broken off.
func (f *Forwarder) writeAnswer(w http.ResponseWriter, s *submission, r *result) {
	response := r.exchange.Response
	length := response.ContentLength
	scrubber.RemoveConnectionHeaders(response.Header)
	scrubber.RemoveNodeHeaders(response.Header)
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(fleet.HeaderRequestID, string(s.id))
	header.Set(fleet.HeaderExecuted, string(fleet.ExecutedYes))
	if r.whole && s.request.Method != http.MethodHead && length < 0 {
		length = r.length()
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	f.limitWriting(w)
	w.WriteHeader(response.StatusCode)
	if s.request.Method == http.MethodHead {
		return
	}
	if length < 0 && !s.request.ProtoAtLeast(1, 1) {
		f.streamUndelimited(w, s, r)
		return
	}
	f.stream(w, r)
}

// streamUndelimited writes the body of an answer that ends with its connection, as HTTP/1.0 has no chunks.
func (f *Forwarder) streamUndelimited(w http.ResponseWriter, s *submission, r *result) {
	ended := acceptor.ResetUntilEnd(s.request.Context())
	f.stream(w, r)
	// What net/http holds is to be with the kernel before an end in order is allowed.
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
	ended()
}

// stream writes the body; each part must be written within the write timeout.
func (f *Forwarder) stream(w http.ResponseWriter, r *result) {
	for _, part := range r.parts() {
		f.limitWriting(w)
		if _, err := w.Write(part); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if r.whole {
		return
	}
	r.content.Release()
	buffer := make([]byte, copySize)
	for {
		n, err := r.exchange.Response.Body.Read(buffer)
		f.limitWriting(w)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil || err != nil && err != io.EOF {
			panic(http.ErrAbortHandler)
		}
		if err == io.EOF {
			return
		}
	}
}

// sameLength reports whether a buffered answer has the length that its owner announced.
func sameLength(header http.Header, method string, content []byte) bool {
	announced := header.Get(fleet.HeaderBodyLength)
	if announced == "" || method == http.MethodHead {
		return true
	}
	length, err := strconv.Atoi(announced)
	return err == nil && length == len(content)
}

// drain reads the rest of a small body, so that its connection can be used again.
func drain(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, maxDrain)
}
