package daemon

import (
	"time"

	"golang.org/x/sys/unix"

	"cowsliptally.example/cowsliptally/quota/enforcer"
)

// buildQuota creates the part that enforces organisations' limits over the whole fleet.
func (d *Daemon) buildQuota() {
	if !d.quotaRule.IsSet() {
		return
	}
	options := []enforcer.Option{
		enforcer.WithClock(d.clock),
		enforcer.WithJoined(d.prober.Joined),
		enforcer.WithRecorder(d.journal),
		enforcer.WithRegistry(d.registry),
	}
	if _, err := sinceBoot(); err == nil {
		options = append(options, enforcer.WithElapsed(elapsed))
	}
	if d.firstStart {
		options = append(options, enforcer.WithFirstStart())
	}
	d.quota = enforcer.New(d.self.ID, d.quotaRule, d.roster, d.configurations, enforcer.NewCaller(), options...)
	if len(d.set.Peers) > 0 {
		d.quota.Expect(d.set.Peers)
	}
}

// sinceBoot returns the time since the start of the machine. It goes on while the machine is
// suspended, in which the monotonic clock of the runtime stands still.
func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}

// elapsed returns the time since the start of the machine, on machines that tell it.
func elapsed() time.Duration {
	now, _ := sinceBoot()
	return now
}
