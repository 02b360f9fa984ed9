package pooler_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/pooler"
)

// TestEncodingOfHTTP10IsNotIgnored guards against chunks that are taken for the bytes of a body which
// ends with its connection, so that a cut one is taken for the whole.
func TestEncodingOfHTTP10IsNotIgnored(t *testing.T) {
	const chunks = "2\r\nab\r\n0\r\n\r\n"
	for lines, broken := range map[string]bool{
		"":                               false,
		"Content-Length: 12\r\n":         false,
		"Transfer-Encoding: chunked\r\n": true,
		"Transfer-Encoding: chunked\r\nContent-Length: 12\r\n": true,
		"Content-Length: 12\r\nTransfer-Encoding: gzip\r\n":    true,
	} {
		t.Run(fmt.Sprintf("%q", lines), func(t *testing.T) {
			is := is.New(t)
			answer := "HTTP/1.0 200 OK\r\nX: y\r\n" + lines + "\r\n" + chunks
			body, err := upload(pooler.New(), earlyServer{answer, true, finish}.listen(t), []byte("x"))
			if broken {
				is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindBroken)
				return
			}
			is.NoErr(err)
			is.Equal(body, chunks)
		})
	}
}
