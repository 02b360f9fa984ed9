package proof

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"cowsliptally.example/cowsliptally/caller"
	"cowsliptally.example/cowsliptally/checker"
	"cowsliptally.example/cowsliptally/explainer"
	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/logreader"
	"cowsliptally.example/cowsliptally/sampler"
)

const (
	// testProcess is the name of the process that has the caller and the relays.
	testProcess = "test process"
	// maxTraces limits the findings that are traced, as each one reads all logs.
	maxTraces = 10
	// waitMargin is the time after a request in which waits for a processor still count: the kernel tells a wait when it ends.
	waitMargin = time.Second
)

// sample starts to sample the test process and those of the fleet. The function that it returns stops that.
func (f *fixture) sample() (stop func()) {
	f.sampler = sampler.New(f.processes)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.sampler.Run(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// processes returns the identifiers of the test process and of the running processes of the fleet.
func (f *fixture) processes() map[string]int {
	found := f.harness.ProcessIDs()
	found[testProcess] = os.Getpid()
	return found
}

// usage returns the processor time of each process that was sampled between two moments, one line each.
func (f *fixture) usage(from, until time.Time) string {
	var text strings.Builder
	for _, name := range f.sampler.Names() {
		if used := f.sampler.Usage(name, from, until); used.Span > 0 {
			fmt.Fprintf(&text, "\n%s %s", name, used)
		}
	}
	return text.String()
}

// reportFindings fails the test for each finding. It tells who was late: what the nodes logged about the request and the
// processor time of each process while the request had no outcome. Neither excuses a finding.
func (f *fixture) reportFindings(report checker.Report, records []caller.Record) {
	f.t.Helper()
	byRequest := make(map[fleet.RequestID]caller.Record, len(records))
	for _, record := range records {
		byRequest[record.Request] = record
	}
	for i, finding := range report.Findings {
		record := byRequest[finding.Request]
		from, until := record.Sent, record.Sent.Add(record.Took+waitMargin)
		node := f.nodeName(record.Node)
		f.t.Errorf("%s; %s: %s; %s: %s", finding, testProcess, f.sampler.Usage(testProcess, from, until), node, f.sampler.Usage(node, from, until))
		if i < maxTraces {
			f.t.Logf("%s\nprocessor time from %s to %s:%s", f.timeline(record.Request),
				from.Format(time.StampMicro), until.Format(time.StampMicro), f.usage(from, until))
		}
	}
}

// nodeName returns the name of the node with a caller address.
func (f *fixture) nodeName(callerAddress string) string {
	for _, vm := range f.harness.VMs() {
		if vm.CallerAddress == callerAddress {
			return vm.NodeName()
		}
	}
	return "no node"
}

// logReadLate logs how many outcomes arrived in time and were read late.
func (f *fixture) logReadLate(records []caller.Record) {
	count, longest := 0, time.Duration(0)
	for _, record := range records {
		if !record.Arrived.IsZero() && record.Result != caller.ResultSilent {
			count, longest = count+1, max(longest, record.Took-record.Arrived.Sub(record.Sent))
		}
	}
	if count > 0 {
		f.t.Logf("%d outcomes arrived within the limit and were read after it, up to %s after they arrived", count, longest.Round(time.Millisecond))
	}
}

// timeline returns what the nodes logged about a request.
func (f *fixture) timeline(request fleet.RequestID) string {
	reader := logreader.New(string(request))
	names, err := filepath.Glob(filepath.Join(f.directory, "*-node.log"))
	f.is.NoErr(err)
	for _, name := range names {
		log, err := os.ReadFile(name)
		f.is.NoErr(err)
		f.is.NoErr(reader.Read(bytes.NewReader(log)))
	}
	return explainer.New(string(request), reader.Sources()).InCausalOrder().Text()
}
