package replicator

// Status describes whether a node can read the log service.
type Status string

const (
	// StatusStarting means that the log has not been read yet.
	StatusStarting Status = "starting"
	// StatusUp means that the last read succeeded.
	StatusUp Status = "up"
	// StatusDown means that the last read failed.
	StatusDown Status = "down"
	// StatusExpired means that records expired before this node applied them.
	StatusExpired Status = "expired"
)
