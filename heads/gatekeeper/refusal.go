package gatekeeper

import (
	"fmt"
	"net/http"
	"time"
)

// reason is why a connection or head was refused.
type reason string

const (
	// reasonConnections and reasonAddress mean that the port, or the remote address, has too
	// many connections.
	reasonConnections reason = "full"
	reasonAddress     reason = "address"
	// reasonSize means that the head is over the limit.
	reasonSize reason = "size"
	// reasonMemory means that the memory for heads is used up.
	reasonMemory reason = "memory"
	// reasonTime means that the head was not complete in time.
	reasonTime reason = "time"
)

var reasons = []reason{reasonConnections, reasonAddress, reasonSize, reasonMemory, reasonTime}

const (
	// retryAfter is the Retry-After of refusals for lack of memory, in seconds: heads are done
	// as soon as their requests are.
	retryAfter = "1"
	// refusalTime bounds the writing of a refusal, and the reading of what arrives behind it.
	refusalTime = 100 * time.Millisecond
	// maxDrain bounds how much is read behind a refusal, in bytes.
	maxDrain = 256 << 10
)

// note counts a refusal and writes a log line unless there was one a short while ago.
func (g *Gatekeeper) note(why reason, ip string) {
	g.refused[why].Inc(1)
	if g.logger != nil && g.lineLimit.AllowN(g.clock.Now(), 1) {
		g.logger.Warn("heads", "port", g.name, "refused", string(why), "from", ip, "total", g.refused[why].Count(), "reserved", g.limits.Memory.Reserved())
	}
}

// head returns the refusal of a request that was not read whole.
func (g *Gatekeeper) head(why reason) string {
	status, wait := http.StatusServiceUnavailable, "Retry-After: "+retryAfter+"\r\n"
	if why == reasonSize {
		status, wait = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), wait, g.lines)
}
