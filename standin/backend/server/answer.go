package server

import (
	"encoding/hex"
	"hash/fnv"
)

// Answer is the body of a successful answer.
type Answer struct {
	Request string `json:"request"`
	Backend string `json:"backend"`
	// Sum is the checksum of the request's body and identifier.
	Sum string `json:"sum"`
	// TookMicros is the time that the request occupied its slot, in microseconds.
	TookMicros int64 `json:"took_us"`
	// Filler has the length requested by HeaderSize.
	Filler string `json:"filler,omitempty"`
}

// Sum returns the checksum that an answer to a request must carry.
func Sum(request string, body []byte) string {
	hash := fnv.New128a()
	hash.Write([]byte(request))
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}
