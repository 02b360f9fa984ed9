package ejector

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/judge"
	"cowsliptally.example/cowsliptally/ring"
)

const (
	// decideEvery is the period of decisions and testimony.
	decideEvery = time.Second
	// letterQueue and recordQueue bound what waits to be sent.
	letterQueue = 256
	recordQueue = 64
	// senders is the number of letters on their way at a time.
	senders = 4
	// letterTimeout and appendTimeout bound one call.
	letterTimeout = 500 * time.Millisecond
	appendTimeout = 5 * time.Second
)

// Run judges, testifies and proposes until ctx is done.
func (e *Ejector) Run(ctx context.Context) error {
	letters := ring.New[letter](letterQueue)
	records := ring.New[*cowsliptallyv1.Record](recordQueue)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.runTicks(ctx) })
	group.Go(func() error { return e.runDecisions(ctx, letters, records) })
	for range senders {
		group.Go(func() error { return e.runLetters(ctx, letters) })
	}
	group.Go(func() error { return e.runRecords(ctx, records) })
	return group.Wait()
}

// runTicks keeps the judge's clock and writes its events to the journal.
func (e *Ejector) runTicks(ctx context.Context) error {
	ticker := e.clock.NewTicker(judge.TickEvery)
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

// Tick judges once and writes what happened to the journal.
func (e *Ejector) Tick() {
	for _, event := range e.judge.Tick(e.clock.Now()) {
		e.journal.Record(event)
	}
}

func (e *Ejector) runDecisions(
	ctx context.Context, letters *ring.Ring[letter], records *ring.Ring[*cowsliptallyv1.Record],
) error {
	ticker := e.clock.NewTicker(decideEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		for _, l := range e.letters() {
			letters.Push(l)
		}
		for _, record := range e.decide(e.clock.Now()) {
			records.Push(record)
		}
	}
}

func (e *Ejector) runLetters(ctx context.Context, letters *ring.Ring[letter]) error {
	for {
		l, ok := letters.Pop(ctx)
		if !ok {
			return nil
		}
		e.send(ctx, l)
	}
}

// send gives evidence to a node and takes in what it answers; a failed letter
// is sent again with the next decision.
func (e *Ejector) send(ctx context.Context, l letter) {
	ctx, cancel := context.WithTimeout(ctx, letterTimeout)
	defer cancel()
	answer, err := e.messenger.Testify(ctx, l.to, l.request)
	if err != nil {
		return
	}
	now := e.clock.Now()
	for _, message := range answer.GetEvidence() {
		e.take(message, now)
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

// append proposes a record; a failed one is decided on again later.
func (e *Ejector) append(ctx context.Context, record *cowsliptallyv1.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := e.appender.Append(ctx, record); err != nil {
		e.journal.Record(appendFailed(record, err))
	}
}

// Step testifies and decides once, without goroutines of its own; it is for
// programs that drive the ejector in virtual time.
func (e *Ejector) Step(ctx context.Context) {
	for _, l := range e.letters() {
		e.send(ctx, l)
	}
	for _, record := range e.decide(e.clock.Now()) {
		e.append(ctx, record)
	}
}
