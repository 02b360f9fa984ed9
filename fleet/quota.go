package fleet

import "time"

// QuotaRule bounds the executed requests of an organisation over the whole fleet: in any window
// at most (rate x window + burst) x (1 + overage) + slack. The zero value sets no rule.
type QuotaRule struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// IsSet reports whether quotas are enforced over the fleet.
func (r QuotaRule) IsSet() bool { return r.Window > 0 }

// Bound returns the number of requests that may be executed in one window.
func (r QuotaRule) Bound(limit Limit) float64 {
	return (limit.RequestsPerSecond*r.Window.Seconds()+float64(limit.Burst))*(1+r.Overage) + r.Slack
}
