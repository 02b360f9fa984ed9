package main

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

const (
	slowFactor = 20
	// retireTimeout bounds the graceful end of a VM's processes.
	retireTimeout = 10 * time.Second
)

// faultStep starts or ends one fault at a given time of the load.
type faultStep struct {
	// fraction is the time as a fraction of the load's duration, from 0 to 1.
	fraction    float64
	description string
	apply       func() error
}

// faultSteps returns the steps in the order of their times.
func (s *scenario) faultSteps() []faultStep {
	slow, killed, drained, replaced := s.ledgerVMs[0], s.ledgerVMs[3], s.ledgerVMs[4], s.intakeVMs[0]
	return []faultStep{
		{0.12, "slows " + string(slow.BackendID()) + " 20 times; its health endpoint still answers ok", func() error {
			return s.harness.SetFaults(slow, server.Faults{Slow: slowFactor, Lie: true})
		}},
		{0.25, "kills " + string(killed.BackendID()), func() error {
			killed.Backend.Kill()
			return nil
		}},
		{0.38, "drains " + string(drained.BackendID()), func() error {
			return s.harness.Drain(drained)
		}},
		{0.45, "starts " + string(killed.BackendID()) + " again, cold", func() error {
			return s.harness.StartBackend(killed, "--cold-start", backendColdTime)
		}},
		{0.52, "takes the log service down", func() error {
			return s.harness.SetLogFaults(harness.LogFaults{Down: true})
		}},
		{0.60, "replaces " + replaced.NodeName() + " by a fresh node", func() error {
			return s.replaceVM(replaced)
		}},
		{0.75, "ends the slowness of " + string(slow.BackendID()), func() error {
			return s.harness.SetFaults(slow, server.Faults{})
		}},
		{0.80, "brings the log service back", func() error {
			return s.harness.SetLogFaults(harness.LogFaults{})
		}},
	}
}

// injectFaults applies the steps at their times until the load ends.
func (s *scenario) injectFaults(ctx context.Context) error {
	started := time.Now()
	for _, step := range s.faultSteps() {
		due := started.Add(time.Duration(step.fraction * float64(s.config.Duration)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		s.printf("the demo %s", step.description)
		if err := step.apply(); err != nil {
			return err
		}
	}
	return nil
}

// replaceVM starts a new VM in the zone of an old one of intake and then ends the
// old one gracefully.
func (s *scenario) replaceVM(old *harness.VM) error {
	replacement, err := s.harness.StartVM(old.Service, old.Zone, "--work", intakeWork)
	if err != nil {
		return err
	}
	if err := s.harness.AwaitConfigured(replacement, readyTimeout); err != nil {
		return err
	}
	if err := old.Retire(retireTimeout); err != nil {
		return err
	}
	s.caller.SetNodes(s.harness.CallerAddresses())
	return nil
}
