package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/checker"
	"cowsliptally.example/cowsliptally/harness"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

const (
	readyTimeout    = 30 * time.Second
	progressPeriod  = 2 * time.Second
	settleTime      = time.Second
	compareTime     = 2 * time.Second
	maxFindings     = 20
	plantShare      = 0.05
	intakeWork      = "15ms"
	backendColdTime = "1s"
)

// story is one run of the demo.
type story struct {
	set     settings
	began   time.Time
	harness *harness.Harness
	caller  *caller.Caller
	direct  *caller.Caller
	// ledgers and intakes are the VMs by service, in the order of their start.
	ledgers []*harness.VM
	intakes []*harness.VM
}

func newStory(set settings) *story {
	return &story{set: set, began: time.Now()}
}

// play starts the fleet, loads and breaks it, ends it and checks what happened.
func (s *story) play(ctx context.Context, directory string) (kept bool, err error) {
	s.harness, err = harness.New(s.set.Binaries, directory)
	if err != nil {
		return false, err
	}
	defer func() {
		err = errors.Join(err, s.harness.Stop())
	}()
	if err := s.start(ctx); err != nil {
		return false, err
	}
	if err := s.load(ctx); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if err := s.harness.Stop(); err != nil {
		return false, err
	}
	entries, err := s.harness.Entries()
	if err != nil {
		return false, err
	}
	report := checker.New(checker.WithDirect(s.direct.Records())).Check(s.caller.Records(), entries)
	s.print(report)
	return report.Kept(), nil
}

// start brings up the log service, the VMs and the configuration.
func (s *story) start(ctx context.Context) error {
	s.say("starting the log service, %d nodes and %d backend servers", ledgerServers+intakeServers, ledgerServers+intakeServers)
	if err := s.harness.StartLog(); err != nil {
		return err
	}
	for i := range ledgerServers {
		vm, err := s.harness.StartVM(ledger, zones()[i%len(zones())])
		if err != nil {
			return err
		}
		s.ledgers = append(s.ledgers, vm)
	}
	for i := range intakeServers {
		vm, err := s.harness.StartVM(intake, zones()[i%len(zones())], "--work", intakeWork)
		if err != nil {
			return err
		}
		s.intakes = append(s.intakes, vm)
	}
	revision, err := s.configure(ctx)
	if err != nil {
		return err
	}
	if err := s.harness.AwaitReady(revision, ledgerServers+intakeServers, readyTimeout); err != nil {
		return err
	}
	s.say("revision %d is in force at every node", revision)
	return ctx.Err()
}

// configure creates the services and routes, once a node takes the proposal.
func (s *story) configure(ctx context.Context) (uint64, error) {
	var revision uint64
	var last error
	err := s.harness.Await("the configuration is accepted", readyTimeout, func() bool {
		verdict, err := s.harness.Propose(ctx, s.ledgers[0], configuration()...)
		if err == nil && verdict.GetRefusal() != "" {
			err = errors.New(verdict.GetRefusal())
		}
		last = err
		revision = verdict.GetRevision()
		return err == nil || ctx.Err() != nil
	})
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if err != nil {
		return 0, errors.Join(err, last)
	}
	return revision, nil
}

// load sends requests while the faults come, and waits for the outcomes that are due.
func (s *story) load(ctx context.Context) error {
	s.compare(ctx)
	s.caller = caller.New(s.harness.CallerAddresses(), kinds(), caller.WithSeed(s.set.Seed))
	loading, cancel := context.WithTimeout(ctx, s.set.Duration)
	defer cancel()
	s.say("sending %.0f requests a second for %s", s.set.Rate, s.set.Duration)
	if err := s.plant(); err != nil {
		return err
	}
	broken := make(chan error, 1)
	go func() { broken <- s.breakThings(loading) }()
	go s.progress(loading)
	s.caller.Run(loading, s.set.Rate)
	if err := <-broken; err != nil {
		return err
	}
	return ctx.Err()
}

// compare sends requests to the backend servers directly for a while, for the
// times to be compared with.
func (s *story) compare(ctx context.Context) {
	var addresses []string
	for _, vm := range s.harness.VMs() {
		addresses = append(addresses, vm.BackendAddress)
	}
	s.direct = caller.New(addresses, kinds(), caller.WithSeed(s.set.Seed), caller.WithDirect())
	ctx, cancel := context.WithTimeout(ctx, compareTime)
	defer cancel()
	s.say("sending %.0f requests a second to the backend servers directly for %s, to compare", s.set.Rate, compareTime)
	s.direct.Run(ctx, s.set.Rate)
}

// plant makes one backend server falsify what the check relies on.
func (s *story) plant() error {
	faults := server.Faults{}
	switch s.set.Plant {
	case "deny":
		faults.Deny = plantShare
	case "double":
		faults.Double = plantShare
	case "forge":
		faults.Forge = plantShare
	default:
		return nil
	}
	s.say("planted: %s", s.set.Plant)
	return s.harness.SetFaults(s.ledgers[1], faults)
}

// progress tells now and then how it goes.
func (s *story) progress(ctx context.Context) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			counts := map[caller.Result]int{}
			for _, record := range s.caller.Records() {
				counts[record.Result]++
			}
			s.say("answered=%d refused=%d unknown=%d other=%d",
				counts[caller.ResultAnswered], counts[caller.ResultRefused], counts[caller.ResultUnknown],
				counts[caller.ResultBroken]+counts[caller.ResultSilent]+counts[caller.ResultUnsent])
		}
	}
}

// print tells why requests were not answered, the broken promises and, last, the counts.
func (s *story) print(report checker.Report) {
	for _, line := range s.caller.Reasons() {
		s.say("%s", line)
	}
	for i, finding := range report.Findings {
		if i == maxFindings {
			s.say("and %d more", len(report.Findings)-maxFindings)
			break
		}
		s.say("%s", finding)
	}
	fmt.Println(report)
}

// say prints one line with the time since the demo began.
func (s *story) say(format string, arguments ...any) {
	fmt.Printf("%5.1fs %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}
