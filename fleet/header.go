package fleet

// Headers between callers, nodes and backend servers.
const (
	// HeaderRequestID carries the RequestID.
	HeaderRequestID = "Cowsliptally-Request"
	// HeaderService names the service that a request is for; only routes of that service are matched.
	HeaderService = "Cowsliptally-Service"
	// HeaderKind names the request kind.
	HeaderKind = "Cowsliptally-Kind"
	// HeaderOrganisation names the organisation.
	HeaderOrganisation = "Cowsliptally-Organisation"
	// HeaderKey carries the key of the organisation from a caller to its node, which removes it.
	HeaderKey = "Cowsliptally-Key"
	// HeaderTimeout carries the remaining time in whole milliseconds.
	HeaderTimeout = "Cowsliptally-Timeout"
	// HeaderIdempotent carries "true" or "false"; it takes precedence over the route's setting.
	HeaderIdempotent = "Cowsliptally-Idempotent"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderBackend names the backend server that an attempt is for or an answer is from.
	HeaderBackend = "Cowsliptally-Backend"
	// HeaderAttempt carries the number of the attempt, from 1 for each request.
	HeaderAttempt = "Cowsliptally-Attempt"
	// HeaderExecuted carries an Executed value; it is set on every answer.
	HeaderExecuted = "Cowsliptally-Executed"
	// HeaderReason carries a Reason on error answers.
	HeaderReason = "Cowsliptally-Reason"
	// HeaderInFlight carries the number of requests that the owner has in flight to the backend server.
	HeaderInFlight = "Cowsliptally-Inflight"
	// HeaderQueued carries the number of requests that the owner has queued for the backend server.
	HeaderQueued = "Cowsliptally-Queued"
	// HeaderSlots carries the number of slots of the backend server.
	HeaderSlots = "Cowsliptally-Slots"
	// HeaderServiceTime carries the time spent at the backend server, in microseconds.
	HeaderServiceTime = "Cowsliptally-Service-Time"
	// HeaderEvidence carries the owner's log-likelihood ratio against the backend server, in nats.
	HeaderEvidence = "Cowsliptally-Evidence"
	// HeaderLimit carries the requests a second that the backend server takes from all nodes
	// together, or LimitNone. Without it, the limit is not known.
	HeaderLimit = "Cowsliptally-Limit"
	// HeaderLeaving carries "true" in the answers of a backend server that leaves.
	HeaderLeaving = "Cowsliptally-Leaving"
	// HeaderPause carries, between nodes, the milliseconds for which the limit of the backend
	// server keeps a new request waiting.
	HeaderPause = "Cowsliptally-Pause"
	// HeaderRevision carries the configuration revision of the answering node.
	HeaderRevision = "Cowsliptally-Revision"
	// HeaderBodyLength carries the length of the answer's body between nodes, in bytes.
	HeaderBodyLength = "Cowsliptally-Length"
	// HeaderTicket carries a timestamp of the owner, which later attempts to that owner echo.
	HeaderTicket = "Cowsliptally-Ticket"
	// HeaderWeight carries the weight of the request between nodes.
	HeaderWeight = "Cowsliptally-Weight"
	// HeaderReporter names the node that an older ingress asks about the trial request of a suspect.
	HeaderReporter = "Cowsliptally-Reporter"
	// HeaderCrashed names the backend server that crashed.
	HeaderCrashed = "Cowsliptally-Crashed"
	// HeaderTrial carries "true" on the single trial request of a suspect request.
	HeaderTrial = "Cowsliptally-Trial"
	// HeaderIdentity carries the request's identity between nodes; it is the same for each retry.
	HeaderIdentity = "Cowsliptally-Identity"
	// HeaderReachedBackend carries "true" if a refusal comes from the backend server itself.
	HeaderReachedBackend = "Cowsliptally-Reached"
	// HeaderLastAttempt carries "true" on an attempt after which no other one is allowed if it
	// runs; the owner does not abandon it.
	HeaderLastAttempt = "Cowsliptally-Last"
	// HeaderTarget carries, between nodes, the milliseconds left until the target time of
	// the answer, after which it is less valuable; 0 or less if that time has passed.
	HeaderTarget = "Cowsliptally-Target"
	// HeaderRetryCost carries the cost of a retry for which the ingress's share of the retry
	// budget is used up; the owner's retry budget is charged, or the attempt is refused.
	HeaderRetryCost = "Cowsliptally-Owed"
	// HeaderEarned carries, between nodes, the milliseconds since a request was received that its
	// ingress has not counted for its retry budget. The owner that sends it to its backend server
	// counts it for its own.
	HeaderEarned = "Cowsliptally-Earned"
	// HeaderRetryAfter carries, in refusals, the milliseconds after which room is expected. The
	// header Retry-After has whole seconds.
	HeaderRetryAfter = "Cowsliptally-Retry-After"
	// HeaderForced carries "true" on a forced attempt, which is queued although the
	// backend server is suspected failing.
	HeaderForced = "Cowsliptally-Insist"
	// HeaderNoWait carries "none" on a no-wait attempt, which is refused unless a slot is free.
	HeaderNoWait = "Cowsliptally-Patience"
	// HeaderProgress carries ProgressWaiting or ProgressDispatched in an owner's informational
	// responses to an attempt.
	HeaderProgress = "Cowsliptally-Progress"
	// HeaderEnds carries, in an owner's informational responses to an attempt and in its refusals, the
	// milliseconds until its node ends. It is set once the node has been told to stop.
	HeaderEnds = "Cowsliptally-Ends"
	// HeaderFollows carries "true" on an attempt whose ingress finds the next one itself when the
	// owner's node stops. The owner does not hand it back.
	HeaderFollows = "Cowsliptally-Follows"
	// HeaderAborts carries, on an attempt of a node that stops, the milliseconds until it aborts the request, if that is
	// before the deadline. An owner that stops takes the attempt if its own node ends later.
	HeaderAborts = "Cowsliptally-Aborts"
)

const (
	// ProgressWaiting means that the attempt waits for a slot, and that it will not be
	// dispatched before ProgressDispatched is written to the same connection.
	ProgressWaiting = "waiting"
	// ProgressDispatched means that the attempt may have been dispatched.
	ProgressDispatched = "dispatched"
)

// LimitNone is the value of HeaderLimit for a backend server that names no limit.
const LimitNone = "none"
