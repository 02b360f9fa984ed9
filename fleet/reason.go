package fleet

// Reason says why a request was refused, failed or retried. Each has a counter.
type Reason string

const (
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute Reason = "noroute"
	// ReasonNoBackend means that the service has no backend server that takes work.
	ReasonNoBackend Reason = "nobackend"
	// ReasonBusy means that slots and queue of the chosen backend server are full.
	ReasonBusy Reason = "busy"
	// ReasonShed means that the request gave way to others of more weight or of other organisations.
	ReasonShed Reason = "shed"
	// ReasonLimit means that the organisation is over its limit.
	ReasonLimit Reason = "limit"
	// ReasonDraining means that the backend server or the node takes no new work.
	ReasonDraining Reason = "draining"
	// ReasonGone means that the backend server is not at the node that was asked.
	ReasonGone Reason = "gone"
	// ReasonDeadline means that the time limit passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonSealed means that the request was sealed before it was dispatched.
	ReasonSealed Reason = "sealed"
	// ReasonDuplicate means that the idempotency key was granted before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonGuard means that the node that guards the idempotency key cannot be asked.
	ReasonGuard Reason = "guard"
	// ReasonPoison means that the request crashed backend servers before.
	ReasonPoison Reason = "poison"
	// ReasonTooLarge means that the body is over the size bound.
	ReasonTooLarge Reason = "toolarge"
	// ReasonMemory means that the node's memory for bodies is taken.
	ReasonMemory Reason = "memory"
	// ReasonConnect means that the connection to the owner or backend server failed.
	ReasonConnect Reason = "connect"
	// ReasonBroken means that the answer ended early or was not the request's own.
	ReasonBroken Reason = "broken"
	// ReasonSilent means that the connection made no progress.
	ReasonSilent Reason = "silent"
	// ReasonCrash means that the backend server died while it ran the request.
	ReasonCrash Reason = "crash"
	// ReasonLost means that two owners in turn could not be reached any more while
	// they ran the request, which may have taken their VMs with it.
	ReasonLost Reason = "lost"
	// ReasonBudget means that the retry budget of the service is spent.
	ReasonBudget Reason = "budget"
	// ReasonNotReady means that the node does not know a configuration yet.
	ReasonNotReady Reason = "notready"
	// ReasonBadRequest means that a header of the request has a wrong value.
	ReasonBadRequest Reason = "badrequest"
	// ReasonTicket means that the owner could no longer tell a late attempt from a new one.
	ReasonTicket Reason = "ticket"
	// ReasonDoubt means that the backend server failed of late and gets single trials only.
	ReasonDoubt Reason = "doubt"
	// ReasonSuspect means that the request was in a slot of a backend server that
	// crashed, and that its trial run is not over.
	ReasonSuspect Reason = "suspect"
)

// Reasons lists every reason.
func Reasons() []Reason {
	return []Reason{
		ReasonNoRoute, ReasonNoBackend, ReasonBusy, ReasonShed, ReasonLimit, ReasonDraining,
		ReasonGone, ReasonDeadline, ReasonCancelled, ReasonSealed, ReasonDuplicate, ReasonGuard,
		ReasonPoison, ReasonTooLarge, ReasonMemory, ReasonConnect, ReasonBroken, ReasonSilent,
		ReasonCrash, ReasonBudget, ReasonNotReady, ReasonBadRequest,
		ReasonTicket, ReasonSuspect, ReasonLost, ReasonDoubt,
	}
}
