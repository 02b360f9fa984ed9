package guard

import "time"

// grant is a key that was given out.
type grant struct {
	key    string
	holder string
	at     time.Duration
}
