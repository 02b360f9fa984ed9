package keeper

// Status is how a node reaches the log service.
type Status string

const (
	// StatusStarting means that the log was not read yet.
	StatusStarting Status = "starting"
	// StatusUp means that the last read succeeded.
	StatusUp Status = "up"
	// StatusDown means that the last read failed.
	StatusDown Status = "down"
	// StatusExpired means that records were lost before this node folded them.
	StatusExpired Status = "expired"
)
