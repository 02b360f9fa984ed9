package replicator

import (
	"context"

	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/logclient"
)

// Propose appends a proposal once and returns its result after it was read
// back. A proposal that would be refused is not appended. After an error of
// KindUnavailable nothing was changed; after KindUnknown the proposal may still
// be accepted, and Lookup returns its result later. A proposal that is repeated
// under the same operation identifier is applied at most once.
func (r *Replicator) Propose(ctx context.Context, p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, error) {
	const operation = "propose"
	if p.GetOperation() == "" {
		return nil, newError(operation, KindInvalid, "the operation identifier is empty")
	}
	if result, found := r.State().Result(p.GetOperation()); found {
		return result, nil
	}
	if err := r.checkUsable(operation); err != nil {
		return nil, err
	}
	result, err := r.evaluate(ctx, p)
	if err != nil {
		return nil, err
	}
	if result.GetRefusal() != "" {
		return result, nil
	}
	record := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Proposal{Proposal: p}}
	err = r.append(ctx, operation, record)
	if err != nil && KindOf(err) != KindUnknown {
		return nil, err
	}
	return r.awaitResult(ctx, p.GetOperation())
}

// Append appends a record. It returns after the log service has accepted the
// record, possibly before this node has applied it.
func (r *Replicator) Append(ctx context.Context, record *cowsliptallyv1.Record) error {
	const operation = "append"
	if err := r.checkUsable(operation); err != nil {
		return err
	}
	return r.append(ctx, operation, record)
}

// Lookup returns the result of an earlier proposal; it reads the log up to its
// present end before it reports that there is none.
func (r *Replicator) Lookup(ctx context.Context, id string) (result *cowsliptallyv1.Verdict, found bool, err error) {
	if result, found = r.State().Result(id); found {
		return result, true, nil
	}
	if err := r.Sync(ctx); err != nil {
		return nil, false, err
	}
	result, found = r.State().Result(id)
	return result, found, nil
}

// Sync waits until the state covers every record that is in the log now.
func (r *Replicator) Sync(ctx context.Context) error {
	const operation = "sync"
	ctx, cancel := r.withReadbackTimeout(ctx)
	defer cancel()
	if err := r.checkUsable(operation); err != nil {
		return err
	}
	batch, err := r.log.Read(ctx, Stream, r.State().NextOffset(), 0)
	if err != nil {
		return &Error{Operation: operation, Kind: KindUnavailable, Err: err}
	}
	for {
		changed := r.nextChange()
		if r.State().NextOffset() >= batch.Next {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &Error{Operation: operation, Kind: KindUnavailable, Err: context.Cause(ctx)}
		}
	}
}

// checkUsable fails immediately while the log cannot be used or the state is not
// current.
func (r *Replicator) checkUsable(operation string) error {
	switch r.Status() {
	case StatusDown:
		return newError(operation, KindUnavailable, "the log service cannot be reached")
	case StatusExpired:
		return newError(operation, KindUnavailable, "this node misses records that have expired")
	}
	if !r.Ready() {
		return newError(operation, KindNotReady, "this node does not know the newest state yet")
	}
	return nil
}

// evaluate returns the result that the proposal would have now. A refusal that
// may be due to a stale state is evaluated again at the log's present end.
func (r *Replicator) evaluate(ctx context.Context, p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, error) {
	result, _ := r.State().Evaluate(p)
	if result.GetRefusal() == "" || p.GetBaseRevision() < result.GetCurrentRevision() {
		return result, nil
	}
	if err := r.Sync(ctx); err != nil {
		return nil, err
	}
	result, _ = r.State().Evaluate(p)
	return result, nil
}

func (r *Replicator) append(ctx context.Context, operation string, record *cowsliptallyv1.Record) error {
	payload, err := proto.Marshal(record)
	if err != nil {
		return &Error{Operation: operation, Kind: KindInvalid, Err: err}
	}
	_, err = r.log.Append(ctx, Stream, payload)
	switch {
	case err == nil:
		return nil
	case logclient.KindOf(err) == logclient.KindDown:
		return &Error{Operation: operation, Kind: KindUnavailable, Err: err}
	case logclient.KindOf(err) == logclient.KindRefused:
		return &Error{Operation: operation, Kind: KindInvalid, Err: err}
	default:
		return &Error{Operation: operation, Kind: KindUnknown, Err: err}
	}
}

// awaitResult waits until the proposal is applied at this node.
func (r *Replicator) awaitResult(ctx context.Context, id string) (*cowsliptallyv1.Verdict, error) {
	ctx, cancel := r.withReadbackTimeout(ctx)
	defer cancel()
	for {
		changed := r.nextChange()
		if result, found := r.State().Result(id); found {
			return result, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, newError("propose", KindUnknown, "operation %q was not read back in time; ask for it again by this identifier", id)
		}
	}
}

// withReadbackTimeout cancels ctx when the read-back timeout has passed on the
// clock of the replicator.
func (r *Replicator) withReadbackTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := r.clock.AfterFunc(r.readbackTimeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
