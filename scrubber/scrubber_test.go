package scrubber_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/scrubber"
)

func TestRemovesHeadersThatAreNotForwarded(t *testing.T) {
	is := is.New(t)
	header := http.Header{}
	for _, name := range []string{
		"Connection", "Keep-Alive", "X-Named", "te", "trailer", "transfer-encoding", "upgrade", "expect",
		"proxy-authorization", fleet.HeaderTicket, fleet.HeaderInFlight, fleet.HeaderServiceTime, fleet.HeaderIdentity,
	} {
		header.Set(name, "x")
	}
	header.Set("Connection", "close, x-named")
	header.Set("Accept", "kept")
	header.Set(fleet.HeaderKind, "kept")
	scrubber.RemoveConnectionHeaders(header)
	scrubber.RemoveNodeHeaders(header)
	is.Equal(header, http.Header{"Accept": {"kept"}, fleet.HeaderKind: {"kept"}})
}
