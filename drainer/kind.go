package drainer

// Kind is a kind of work.
type Kind uint8

const (
	// Requests are callers' requests, from their complete head until their answer is written.
	// It includes uploads that still arrive, trial runs and answers that are streamed.
	Requests Kind = iota
	// Pipelined are requests that were begun before their turn, until their answer is written.
	// Their handlers have returned long before that if a request ahead of them takes longer.
	Pipelined
	// LateRequests are callers' requests that go on after those that only wait were aborted, until their
	// answer is written. Each of them counts among Requests as well.
	LateRequests
	// Attempts are requests at this owner, including answers that are relayed to other nodes.
	Attempts
	// LateAttempts are attempts that were accepted after Attempts was closed, one at a time for each
	// backend server, while other work keeps the node from ending.
	LateAttempts
	// Offers are attempts that wait for the reservation of a slot.
	Offers
	// Closing are connections that the node has closed but still reads, so that the other end
	// gets the last answer.
	Closing
	kinds
)

// String returns the name in logs.
func (k Kind) String() string {
	return [kinds]string{"requests", "pipelined", "late-requests", "attempts", "late", "offers", "closing"}[k]
}
