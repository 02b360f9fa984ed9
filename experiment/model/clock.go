package model

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// epoch is the beginning of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a clock of virtual time. Only Now may be called.
type clock struct {
	clockwork.Clock
	now time.Duration
}

// Now returns the virtual time.
func (c *clock) Now() time.Time { return epoch.Add(c.now) }
