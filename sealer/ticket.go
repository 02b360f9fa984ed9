package sealer

import (
	"strconv"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

const ticketBase = 36

// formatTicket returns a ticket with the node and its time since start, rounded down to
// the millisecond: a ticket may look older than it is, never newer.
func formatTicket(node fleet.NodeID, since time.Duration) string {
	return string(node) + "." + strconv.FormatInt(since.Milliseconds(), ticketBase)
}

// parseTicket returns the time of a ticket of this node.
func parseTicket(node fleet.NodeID, ticket string) (time.Duration, bool) {
	stamp, found := strings.CutPrefix(ticket, string(node)+".")
	if !found {
		return 0, false
	}
	milliseconds, err := strconv.ParseInt(stamp, ticketBase, 64)
	if err != nil || milliseconds < 0 {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}
