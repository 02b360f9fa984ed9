package dispatcher

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/scrubber"
)

// copySize is the size of the parts in which a large answer is streamed, in bytes.
const copySize = 16 << 10

// answer forwards the backend server's answer. A failure after its headers breaks the
// connection, so that the ingress cannot mistake a partial answer for a complete one.
func (a *attempt) answer(w http.ResponseWriter, r *result, took time.Duration) {
	response := r.exchange.Response
	scrubber.RemoveConnectionHeaders(response.Header)
	scrubber.RemoveNodeHeaders(response.Header)
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	a.dispatcher.describe(header, a.call)
	header.Set(fleet.HeaderExecuted, string(fleet.ExecutedYes))
	header.Set(fleet.HeaderServiceTime, strconv.FormatInt(took.Microseconds(), 10))
	length := response.ContentLength
	if r.complete && a.request.Method != http.MethodHead {
		length = int64(len(r.content.Bytes()))
	}
	if length >= 0 {
		header.Set(fleet.HeaderBodyLength, strconv.FormatInt(length, 10))
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(response.StatusCode)
	if a.request.Method == http.MethodHead {
		return
	}
	// Statuses without a body, such as 204, allow no write.
	if content := r.content.Bytes(); len(content) > 0 {
		a.dispatcher.limitWriting(w)
		if _, err := w.Write(content); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if r.complete {
		return
	}
	r.content.Release()
	if err := a.dispatcher.stream(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream copies the rest of an answer. Load that it answers: ingresses that are frozen or cut
// off while they take a large answer, whose slots and memory would be held until the connection
// is given up, minutes later.
func (d *Dispatcher) stream(w http.ResponseWriter, body io.Reader) error {
	buffer := make([]byte, copySize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			d.limitWriting(w)
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// limitReading ends an upload whose connection is silent at a deadline; there is none if that is zero. The error of
// response writers without deadlines, such as those in tests, is ignored, as they are never slow.
func limitReading(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// limitWriting sets the write deadline of the next part of an answer. The error of response
// writers without deadlines, such as those in tests, is ignored, as they are never slow.
func (d *Dispatcher) limitWriting(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(d.clock.Now().Add(d.writeTimeout))
}
