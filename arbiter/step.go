package arbiter

// Step is what an ingress does next.
type Step uint8

const (
	// Wait waits for the answer, and for the next progress timeout.
	Wait Step = iota
	// Ask asks the owner to seal the attempt.
	Ask
	// Reserve has another owner reserve a slot for the next attempt.
	Reserve
	// Move gives the attempt up and makes the next one, for which a slot is reserved.
	Move
	// Search makes attempts at other owners until one takes the request, or its deadline.
	Search
	// Hedge has another owner reserve a slot for the next attempt, and makes it beside this one.
	Hedge
	// Drop gives the attempt up. Whether another one follows is up to the rules of retries.
	Drop
)

// String returns the name in logs.
func (s Step) String() string {
	return [...]string{"wait", "ask", "reserve", "move", "search", "hedge", "drop"}[s]
}
