package dispatcher

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/scrubber"
)

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
		if _, err := w.Write(content); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if r.complete {
		return
	}
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
