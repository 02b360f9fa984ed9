package pooler

import "net/http"

// Message is one request for an address.
type Message struct {
	// Address is the IP and port of the receiver.
	Address string
	// Request holds method, URL and headers.
	Request *http.Request
	// Content is the whole body.
	Content []byte
	// Doubt is asked when no byte moved for a whole progress timeout, and told for how many
	// of them in a row, and whether the connection was used before; it says whether to give
	// up. Nil gives up.
	Doubt func(silences int, reused bool) bool
}
