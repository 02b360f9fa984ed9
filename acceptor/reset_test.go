package acceptor_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/acceptor"
)

// TestCutAnswerWithoutALengthIsReset guards against a part of an answer that ends with its connection
// and is taken for the whole, as its connection was closed in order.
func TestCutAnswerWithoutALengthIsReset(t *testing.T) {
	const size = 1 << 20
	var server *http.Server
	for name, tc := range map[string]struct {
		end   func(ended func())
		whole bool
	}{
		"ended":    {func(ended func()) { ended() }, true},
		"cut":      {func(func()) { panic(http.ErrAbortHandler) }, false},
		"shutdown": {func(func()) { _ = server.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _, started := start(t, func(w http.ResponseWriter, r *http.Request) {
				ended := acceptor.ResetUntilEnd(r.Context())
				_, _ = w.Write(make([]byte, size))
				_ = http.NewResponseController(w).Flush()
				tc.end(ended)
			})
			server = started
			c := dial(t, address)
			_, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				is.True(!tc.whole)
				return
			}
			n, err := io.Copy(io.Discard, response.Body)
			is.Equal(err == nil, tc.whole)
			is.True(n == size || !tc.whole)
		})
	}
}
