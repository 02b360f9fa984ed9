package pooler_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/pooler"
)

// TestOnlyFinalStatusesAreReturned guards against answers whose status a caller cannot take, and
// against the further use of their connection.
func TestOnlyFinalStatusesAreReturned(t *testing.T) {
	const empty = "HTTP/1.1 %s Text\r\nContent-Length: 0\r\n\r\n"
	const upgrade = "HTTP/1.1 %s Text\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
	for format, statuses := range map[string]map[string]bool{
		empty: {
			"000": false, "099": false, "20": false, "1000": false, "-20": false, "+20": false, "abc": false, "0": false,
			"": false, "101": false, "200": true, "299": true, "404": true, "599": true, "600": false, "777": false, "999": false,
		},
		upgrade:                      {"101": false},
		"HTTP/1.1 %s Text\r\n\r\nab": {"101": false, "600": false},
		strings.Repeat("HTTP/1.1 %s Text\r\n\r\n", 4097): {"100": false, "103": false, "199": false},
	} {
		for status, returned := range statuses {
			t.Run(status, func(t *testing.T) {
				is := is.New(t)
				var answers atomic.Int64
				address := serve(t, func() string {
					if answers.Add(1) > 1 {
						return fmt.Sprintf(empty, "204")
					}
					return strings.ReplaceAll(format, "%s", status)
				})
				p := pooler.New()
				exchange, err := send(t, p, address)
				is.Equal(err == nil, returned)
				is.True(exchange.Sent)
				if returned {
					is.Equal(fmt.Sprint(exchange.Response.StatusCode), status)
				} else {
					is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindBroken)
				}
				exchange.Close()
				next, err := send(t, p, address)
				is.NoErr(err)
				is.Equal(next.Reused, returned)
				next.Close()
			})
		}
	}
}

// TestInterimAnswerIsNotFinal guards against an answer with status 1xx that is taken for the
// final one when its connection ends.
func TestInterimAnswerIsNotFinal(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		is := is.New(t)
		address := earlyServer{"HTTP/1.1 " + status + " Text\r\n\r\n", true, finish}.listen(t)
		_, err := upload(pooler.New(), address, []byte("x"))
		is.Equal(fault.KindOf[pooler.Kind](err), pooler.KindBroken)
	}
}
