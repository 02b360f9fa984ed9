package scrubber_test

import (
	"net/http"
	"slices"
	"strings"
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
		"proxy-authorization", fleet.HeaderTicket, fleet.HeaderInFlight, fleet.HeaderServiceTime, fleet.HeaderIdentity, fleet.HeaderAborts,
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

// TestRetainedHeadersAreKeptWhateverConnectionNames guards against a header of the system that the
// other end of a connection takes off, and against one of its own that it can't take off any more.
func TestRetainedHeadersAreKeptWhateverConnectionNames(t *testing.T) {
	for _, connection := range [][]string{
		{"close, X-Own, X-Named"}, {"x-own,x-named"}, {" X-OWN ,\tX-Named"}, {"X-Own, X-Own", "X-Named", "X-Own"}, {",X-Own,,X-Named,"},
	} {
		t.Run(strings.Join(connection, ";"), func(t *testing.T) {
			is := is.New(t)
			before := slices.Clone(connection)
			header := http.Header{"Connection": connection, "X-Own": {"1"}, "X-Named": {"2"}, "X-Owned": {"3"}}
			scrubber.Retain(header, "X-Own")
			is.Equal(connection, before)
			scrubber.RemoveConnectionHeaders(header)
			is.Equal(header, http.Header{"X-Own": {"1"}, "X-Owned": {"3"}})
		})
	}
}
