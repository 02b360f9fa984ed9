// Package scrubber removes headers that concern one connection or only the nodes.
package scrubber

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"cowsliptally.example/cowsliptally/fleet"
)

// connectionHeaders concern one connection and are not forwarded. All names here are
// in canonical form.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// nodeHeaders are set by nodes only, or are meant for the first node only.
var nodeHeaders = []string{
	fleet.HeaderBackend, fleet.HeaderAttempt, fleet.HeaderExecuted, fleet.HeaderReason,
	fleet.HeaderInFlight, fleet.HeaderQueued, fleet.HeaderSlots, fleet.HeaderServiceTime,
	fleet.HeaderRevision, fleet.HeaderBodyLength, fleet.HeaderTicket, fleet.HeaderWeight,
	fleet.HeaderIdentity, fleet.HeaderEvidence, fleet.HeaderTrial, fleet.HeaderReporter,
	fleet.HeaderCrashed, fleet.HeaderReachedBackend, fleet.HeaderNoWait,
	fleet.HeaderForced, fleet.HeaderTarget, fleet.HeaderRetryCost, fleet.HeaderLimit,
	fleet.HeaderPause, fleet.HeaderLeaving, fleet.HeaderLastAttempt, fleet.HeaderKey,
	fleet.HeaderEarned, fleet.HeaderRetryAfter, fleet.HeaderEnds, fleet.HeaderFollows,
	fleet.HeaderAborts,
}

// Retain removes names from the Connection header, so that the headers of these names are kept
// whatever the other end of the connection names there.
func Retain(header http.Header, names ...string) {
	for i, value := range header["Connection"] {
		options := strings.Split(value, ",")
		kept := slices.DeleteFunc(slices.Clone(options), func(option string) bool {
			return slices.ContainsFunc(names, func(name string) bool {
				return strings.EqualFold(textproto.TrimString(option), name)
			})
		})
		if len(kept) < len(options) {
			header["Connection"] = slices.Clone(header["Connection"]) // clones of a header share their values
			header["Connection"][i] = strings.Join(kept, ",")
		}
	}
}

// RemoveConnectionHeaders removes the headers that concern one connection.
func RemoveConnectionHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(header, name)
	}
}

// RemoveNodeHeaders removes the headers that only nodes may set.
func RemoveNodeHeaders(header http.Header) {
	for _, name := range nodeHeaders {
		delete(header, name)
	}
}
