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
	readyTimeout   = 30 * time.Second
	progressPeriod = 2 * time.Second
	// settleTime is the wait between the end of the load and the end of the fleet.
	settleTime = time.Second
	// directTime is how long requests go to the backend servers directly.
	directTime = 2 * time.Second
	// maxFindings bounds the findings that are printed.
	maxFindings = 20
	// plantedShare is the share of the backend server's requests that a planted
	// fault affects.
	plantedShare = 0.05
	// intakeWork is the median service time of intake's backend servers.
	intakeWork = "15ms"
	// backendColdTime is the cold start of the backend server that starts again.
	backendColdTime = "1s"
)

// scenario is one run of the demo.
type scenario struct {
	config  settings
	started time.Time
	harness *harness.Harness
	caller  *caller.Caller
	direct  *caller.Caller
	// ledgerVMs and intakeVMs are the VMs by service, in the order of their start.
	ledgerVMs []*harness.VM
	intakeVMs []*harness.VM
}

func newScenario(config settings) *scenario {
	return &scenario{config: config, started: time.Now()}
}

// run starts the fleet, applies load and faults, stops it and checks the results.
func (s *scenario) run(ctx context.Context, directory string) (passed bool, err error) {
	s.harness, err = harness.New(s.config.Binaries, directory)
	if err != nil {
		return false, err
	}
	defer func() {
		err = errors.Join(err, s.harness.Stop())
	}()
	if err := s.start(ctx); err != nil {
		return false, err
	}
	if err := s.applyLoad(ctx); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if err := s.harness.Stop(); err != nil {
		return false, err
	}
	entries, err := s.harness.LedgerEntries()
	if err != nil {
		return false, err
	}
	report := checker.New(checker.WithDirect(s.direct.Records())).Check(s.caller.Records(), entries)
	s.printReport(report)
	return report.Passed(), nil
}

// start starts the log service and the VMs, configures them and waits until they
// are ready.
func (s *scenario) start(ctx context.Context) error {
	s.printf("starting the log service, %d nodes and %d backend servers", ledgerServers+intakeServers, ledgerServers+intakeServers)
	if err := s.harness.StartLog(); err != nil {
		return err
	}
	for i := range ledgerServers {
		vm, err := s.harness.StartVM(ledger, zones()[i%len(zones())])
		if err != nil {
			return err
		}
		s.ledgerVMs = append(s.ledgerVMs, vm)
	}
	for i := range intakeServers {
		vm, err := s.harness.StartVM(intake, zones()[i%len(zones())], "--work", intakeWork)
		if err != nil {
			return err
		}
		s.intakeVMs = append(s.intakeVMs, vm)
	}
	revision, err := s.configure(ctx)
	if err != nil {
		return err
	}
	if err := s.harness.AwaitReady(revision, ledgerServers+intakeServers, readyTimeout); err != nil {
		return err
	}
	s.printf("revision %d is in force at every node", revision)
	return ctx.Err()
}

// configure proposes the services and routes until a node accepts them, and
// returns their revision.
func (s *scenario) configure(ctx context.Context) (uint64, error) {
	var revision uint64
	var last error
	err := s.harness.Await("the configuration is accepted", readyTimeout, func() bool {
		verdict, err := s.harness.Propose(ctx, s.ledgerVMs[0], configuration()...)
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

// applyLoad sends requests while faults are injected, and waits for the due
// outcomes.
func (s *scenario) applyLoad(ctx context.Context) error {
	s.measureDirect(ctx)
	s.caller = caller.New(s.harness.CallerAddresses(), kinds(), caller.WithSeed(s.config.Seed))
	loadCtx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	s.printf("sending %.0f requests a second for %s", s.config.Rate, s.config.Duration)
	if err := s.plantFault(); err != nil {
		return err
	}
	injected := make(chan error, 1)
	go func() { injected <- s.injectFaults(loadCtx) }()
	go s.reportProgress(loadCtx)
	s.caller.Run(loadCtx, s.config.Rate)
	if err := <-injected; err != nil {
		return err
	}
	return ctx.Err()
}

// measureDirect sends requests to the backend servers directly. Their times are
// the base for the time that the fleet adds.
func (s *scenario) measureDirect(ctx context.Context) {
	var addresses []string
	for _, vm := range s.harness.VMs() {
		addresses = append(addresses, vm.BackendAddress)
	}
	s.direct = caller.New(addresses, kinds(), caller.WithSeed(s.config.Seed), caller.WithDirect())
	ctx, cancel := context.WithTimeout(ctx, directTime)
	defer cancel()
	s.printf("sending %.0f requests a second to the backend servers directly for %s, to compare", s.config.Rate, directTime)
	s.direct.Run(ctx, s.config.Rate)
}

// plantFault makes one backend server falsify its ledger or its answers, so that
// the check must fail.
func (s *scenario) plantFault() error {
	faults := server.Faults{}
	switch s.config.Plant {
	case "deny":
		faults.Deny = plantedShare
	case "double":
		faults.Double = plantedShare
	case "forge":
		faults.Forge = plantedShare
	default:
		return nil
	}
	s.printf("planted: %s", s.config.Plant)
	return s.harness.SetFaults(s.ledgerVMs[1], faults)
}

// reportProgress periodically prints the counts of results so far.
func (s *scenario) reportProgress(ctx context.Context) {
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
			s.printf("answered=%d refused=%d unknown=%d other=%d",
				counts[caller.ResultAnswered], counts[caller.ResultRefused], counts[caller.ResultUnknown],
				counts[caller.ResultBroken]+counts[caller.ResultSilent]+counts[caller.ResultUnsent])
		}
	}
}

// printReport prints the reasons of requests that were not answered, the
// findings of the check and, on the last line, the counts.
func (s *scenario) printReport(report checker.Report) {
	for _, line := range s.caller.FailureSummary() {
		s.printf("%s", line)
	}
	for i, finding := range report.Findings {
		if i == maxFindings {
			s.printf("and %d more findings", len(report.Findings)-maxFindings)
			break
		}
		s.printf("%s", finding)
	}
	fmt.Println(report)
}

// printf prints one line with the time since the start of the demo.
func (s *scenario) printf(format string, arguments ...any) {
	fmt.Printf("%5.1fs %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}
