package deduplicator

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"cowsliptally.example/cowsliptally/fleet"
)

// namedPrefix is the prefix of keys that name the node responsible for them.
const namedPrefix = "node~"

// namedKey holds the responsible node named in a key, and that node's time of issue.
type namedKey struct {
	node   fleet.NodeID
	issued time.Duration
}

// formatKey returns "node~NODE~MILLISECONDS~UNIQUE".
func formatKey(node fleet.NodeID, issued time.Duration, unique string) string {
	stamp := strconv.FormatInt(issued.Milliseconds(), 10)
	return namedPrefix + string(node) + "~" + stamp + "~" + unique
}

func parseKey(key string) (namedKey, bool) {
	rest, found := strings.CutPrefix(key, namedPrefix)
	if !found {
		return namedKey{}, false
	}
	parts := strings.Split(rest, "~")
	if len(parts) != 3 {
		return namedKey{}, false
	}
	milliseconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || milliseconds < 0 {
		return namedKey{}, false
	}
	issued := time.Duration(milliseconds) * time.Millisecond
	return namedKey{node: fleet.NodeID(parts[0]), issued: issued}, true
}

// keyTime returns the time in a UUIDv7 key.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}
