package main

import (
	"context"
	"time"

	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

const (
	slowFactor    = 20
	retireTimeout = 10 * time.Second
)

// step is one fault, or its end, at a part of the load's duration.
type step struct {
	// at is the part of the duration that has passed, from 0 to 1.
	at   float64
	what string
	do   func() error
}

// steps returns the faults in order.
func (s *story) steps() []step {
	slow, killed, drained, replaced := s.ledgers[0], s.ledgers[3], s.ledgers[4], s.intakes[0]
	return []step{
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
			return s.replace(replaced)
		}},
		{0.75, "ends the slowness of " + string(slow.BackendID()), func() error {
			return s.harness.SetFaults(slow, server.Faults{})
		}},
		{0.80, "brings the log service back", func() error {
			return s.harness.SetLogFaults(harness.LogFaults{})
		}},
	}
}

// breakThings brings about the faults until the load ends.
func (s *story) breakThings(ctx context.Context) error {
	began := time.Now()
	for _, step := range s.steps() {
		due := began.Add(time.Duration(step.at * float64(s.set.Duration)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		s.say("the demo %s", step.what)
		if err := step.do(); err != nil {
			return err
		}
	}
	return nil
}

// replace ends a VM gracefully while a fresh one takes its place.
func (s *story) replace(old *harness.VM) error {
	fresh, err := s.harness.StartVM(old.Service, old.Zone, "--work", intakeWork)
	if err != nil {
		return err
	}
	if err := s.harness.AwaitConfigured(fresh, readyTimeout); err != nil {
		return err
	}
	if err := old.Retire(retireTimeout); err != nil {
		return err
	}
	s.caller.SetNodes(s.harness.CallerAddresses())
	return nil
}
