package gatekeeper

import (
	"time"

	"cowsliptally.example/cowsliptally/accountant"
)

// Limits are the limits of one port.
type Limits struct {
	// Head is the size of the largest head without its first line, and that of the longest
	// first line, in bytes.
	Head int
	// HeaderTimeout is the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// Connections bounds the open connections, and AddressConnections those of one remote IP
	// address.
	Connections, AddressConnections int
	// Memory bounds the memory for the heads of this port. One address gets at most
	// AddressMemory bytes, and one connection ConnectionMemory.
	Memory                          *accountant.Accountant
	AddressMemory, ConnectionMemory int64
}
