package pooler

import (
	"net/http"
	"net/textproto"
	"time"
)

// Message is one request for an address.
type Message struct {
	// Address is the IP and port of the recipient.
	Address string
	// ID identifies the request among all that are sent, also when it is sent again.
	ID string
	// Echo is the header in which the recipient repeats ID in its answers. With it, late answers to
	// earlier requests on a connection in use again are discarded. It is the same in all messages
	// to an address; empty if the recipient does not.
	Echo string
	// Request holds method, URL and headers.
	Request *http.Request
	// Content is the whole body.
	Content []byte
	// OnConnection is called when there is a connection to the recipient, before a byte is written to it; nil
	// ignores it.
	OnConnection func()
	// OnStall is called when no byte was transferred during a whole progress timeout, and
	// reports whether to cancel the exchange. Nil cancels it.
	OnStall func(Stall) bool
	// OnProgress is called at the end of each progress timeout in which bytes were transferred, and
	// reports whether to cancel the exchange. Nil does not. An answer that arrives meanwhile wins.
	OnProgress func() bool
	// OnInformational is called with the headers of each informational response, in order and
	// before Send returns Exchange.Ended; nil ignores them.
	OnInformational func(textproto.MIMEHeader)
}

// connected calls OnConnection.
func (m Message) connected() {
	if m.OnConnection != nil {
		m.OnConnection()
	}
}

// Stall describes an exchange that makes no progress.
type Stall struct {
	// Timeouts is the number of progress timeouts in a row without a byte.
	Timeouts int
	// Reused is set when the connection was used before.
	Reused bool
	// Opened is when the connection was opened.
	Opened time.Time
}
