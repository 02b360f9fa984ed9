package deduplicator

import "time"

// grant is a granted key.
type grant struct {
	key    string
	holder string
	at     time.Duration
}
