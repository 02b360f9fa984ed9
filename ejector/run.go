package ejector

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cowsliptally.example/cowsliptally/evaluator"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/ring"
)

const (
	// decideEvery is the period of decisions and evidence reports.
	decideEvery = time.Second
	// reportQueue and recordQueue bound the reports and records that wait to be sent.
	reportQueue = 256
	recordQueue = 64
	// senders is the number of reports sent concurrently.
	senders = 4
	// reportTimeout and appendTimeout bound one call.
	reportTimeout = 500 * time.Millisecond
	appendTimeout = 5 * time.Second
)

// Run evaluates health, reports evidence and proposes records until ctx is done.
func (e *Ejector) Run(ctx context.Context) error {
	reports := ring.New[report](reportQueue)
	records := ring.New[*cowsliptallyv1.Record](recordQueue)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.runTicks(ctx) })
	group.Go(func() error { return e.runDecisions(ctx, reports, records) })
	for range senders {
		group.Go(func() error { return e.runReports(ctx, reports) })
	}
	group.Go(func() error { return e.runRecords(ctx, records) })
	return group.Wait()
}

// runTicks calls Tick every evaluator.TickEvery.
func (e *Ejector) runTicks(ctx context.Context) error {
	ticker := e.clock.NewTicker(evaluator.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			e.Tick()
		}
	}
}

// Tick evaluates health once and records the events in the journal.
func (e *Ejector) Tick() {
	for _, event := range e.evaluator.Tick(e.clock.Now()) {
		e.journal.Record(event)
	}
}

func (e *Ejector) runDecisions(
	ctx context.Context, reports *ring.Ring[report], records *ring.Ring[*cowsliptallyv1.Record],
) error {
	ticker := e.clock.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		for _, r := range e.reports() {
			reports.Push(r)
		}
		for _, record := range e.decide(e.clock.Now()) {
			records.Push(record)
		}
	}
}

func (e *Ejector) runReports(ctx context.Context, reports *ring.Ring[report]) error {
	for {
		r, ok := reports.Pop(ctx)
		if !ok {
			return nil
		}
		e.send(ctx, r)
	}
}

// send reports evidence to a node and records the evidence that it returns; a
// failed report is sent again with the next decision.
func (e *Ejector) send(ctx context.Context, r report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	answer, err := e.messenger.Testify(ctx, r.to, r.request)
	if err != nil {
		return
	}
	now := e.clock.Now()
	for _, message := range answer.GetEvidence() {
		e.addEvidence(message, now)
	}
}

func (e *Ejector) runRecords(ctx context.Context, records *ring.Ring[*cowsliptallyv1.Record]) error {
	for {
		record, ok := records.Pop(ctx)
		if !ok {
			return nil
		}
		e.append(ctx, record)
	}
}

// append proposes a record; after a failure it is decided again later.
func (e *Ejector) append(ctx context.Context, record *cowsliptallyv1.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := e.appender.Append(ctx, record); err != nil {
		e.journal.Record(appendFailed(record, err))
	}
}

// ReportAndDecide reports evidence and decides once, without goroutines of its own; it is for
// programs that drive the ejector in virtual time.
func (e *Ejector) ReportAndDecide(ctx context.Context) {
	for _, r := range e.reports() {
		e.send(ctx, r)
	}
	for _, record := range e.decide(e.clock.Now()) {
		e.append(ctx, record)
	}
}
