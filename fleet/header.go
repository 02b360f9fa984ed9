package fleet

// Headers between callers, nodes and backend servers.
const (
	// HeaderRequest carries the RequestID.
	HeaderRequest = "Cowsliptally-Request"
	// HeaderService names a service and goes before the routes.
	HeaderService = "Cowsliptally-Service"
	// HeaderKind names the request kind.
	HeaderKind = "Cowsliptally-Kind"
	// HeaderOrganisation names the organisation.
	HeaderOrganisation = "Cowsliptally-Organisation"
	// HeaderTimeout carries the remaining time in whole milliseconds.
	HeaderTimeout = "Cowsliptally-Timeout"
	// HeaderIdempotent carries "true" or "false" and goes before the route.
	HeaderIdempotent = "Cowsliptally-Idempotent"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderBackend names the backend server of an attempt or answer.
	HeaderBackend = "Cowsliptally-Backend"
	// HeaderAttempt counts the attempts of a request from 1.
	HeaderAttempt = "Cowsliptally-Attempt"
	// HeaderExecuted carries an Executed value in every answer.
	HeaderExecuted = "Cowsliptally-Executed"
	// HeaderReason carries a Reason in error answers.
	HeaderReason = "Cowsliptally-Reason"
	// HeaderInFlight carries the owner's requests in flight for the backend server.
	HeaderInFlight = "Cowsliptally-Inflight"
	// HeaderQueued carries the owner's waiting requests for the backend server.
	HeaderQueued = "Cowsliptally-Queued"
	// HeaderSlots carries the slots of the backend server.
	HeaderSlots = "Cowsliptally-Slots"
	// HeaderServiceTime carries the time at the backend server in microseconds.
	HeaderServiceTime = "Cowsliptally-Service-Time"
	// HeaderEvidence carries the owner's evidence against the backend server, in nats.
	HeaderEvidence = "Cowsliptally-Evidence"
	// HeaderRevision carries the configuration revision of the answering node.
	HeaderRevision = "Cowsliptally-Revision"
	// HeaderLength carries the length of the answer's body in bytes between nodes.
	HeaderLength = "Cowsliptally-Length"
	// HeaderTicket carries the owner's own time stamp, echoed by the next attempts to it.
	HeaderTicket = "Cowsliptally-Ticket"
	// HeaderWeight carries the worth of the request between nodes.
	HeaderWeight = "Cowsliptally-Weight"
	// HeaderReporter carries the node that reported the crash which made a request suspect.
	HeaderReporter = "Cowsliptally-Reporter"
	// HeaderCrashed carries the backend server that crashed.
	HeaderCrashed = "Cowsliptally-Crashed"
	// HeaderTrial carries "true" on the one permitted run of a suspect.
	HeaderTrial = "Cowsliptally-Trial"
	// HeaderIdentity carries the request's identity between nodes, the same for each re-sending.
	HeaderIdentity = "Cowsliptally-Identity"
	// HeaderReached carries "true" when a refusal comes from the backend server itself.
	HeaderReached = "Cowsliptally-Reached"
	// HeaderTarget carries the milliseconds between nodes until an answer is worth less;
	// 0 or less when it is already.
	HeaderTarget = "Cowsliptally-Target"
	// HeaderOwed carries the price of a retry that the sender's part of the retry budget
	// did not allow; the receiver pays it, or refuses the attempt.
	HeaderOwed = "Cowsliptally-Owed"
	// HeaderInsist carries "true" on an attempt that is sent even to a doubted backend server.
	HeaderInsist = "Cowsliptally-Insist"
	// HeaderPatience carries "none" on an attempt that must not wait for a slot.
	HeaderPatience = "Cowsliptally-Patience"
)
