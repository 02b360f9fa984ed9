package keeper

import (
	"context"

	"google.golang.org/protobuf/proto"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/logclient"
)

// Propose appends a proposal once and returns its outcome once it was read
// back. A proposal that would be refused is not appended. After an error of
// KindUnavailable nothing was changed; after KindUnknown the proposal may still
// be accepted, and Lookup tells its outcome later. A repeat under the same
// operation identifier is applied at most once.
func (k *Keeper) Propose(ctx context.Context, p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, error) {
	const operation = "propose"
	if p.GetOperation() == "" {
		return nil, fail(operation, KindInvalid, "the operation identifier is empty")
	}
	if verdict, found := k.State().Result(p.GetOperation()); found {
		return verdict, nil
	}
	if err := k.usable(operation); err != nil {
		return nil, err
	}
	verdict, err := k.judge(ctx, p)
	if err != nil {
		return nil, err
	}
	if verdict.GetRefusal() != "" {
		return verdict, nil
	}
	record := &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Proposal{Proposal: p}}
	err = k.append(ctx, operation, record)
	if err != nil && KindOf(err) != KindUnknown {
		return nil, err
	}
	return k.awaitVerdict(ctx, p.GetOperation())
}

// Append appends a fact. It returns once the log service has taken it, which
// may be before this node has folded it.
func (k *Keeper) Append(ctx context.Context, record *cowsliptallyv1.Record) error {
	const operation = "append"
	if err := k.usable(operation); err != nil {
		return err
	}
	return k.append(ctx, operation, record)
}

// Lookup returns the outcome of an earlier proposal; it reads the log up to its
// present end before it says that there is none.
func (k *Keeper) Lookup(ctx context.Context, id string) (verdict *cowsliptallyv1.Verdict, found bool, err error) {
	if verdict, found = k.State().Result(id); found {
		return verdict, true, nil
	}
	if err := k.Sync(ctx); err != nil {
		return nil, false, err
	}
	verdict, found = k.State().Result(id)
	return verdict, found, nil
}

// Sync waits until the state covers every record that is in the log now.
func (k *Keeper) Sync(ctx context.Context) error {
	const operation = "sync"
	ctx, cancel := k.bound(ctx)
	defer cancel()
	if err := k.usable(operation); err != nil {
		return err
	}
	batch, err := k.log.Read(ctx, Stream, k.State().NextOffset(), 0)
	if err != nil {
		return &Error{Operation: operation, Kind: KindUnavailable, Err: err}
	}
	for {
		changed := k.changes()
		if k.State().NextOffset() >= batch.Next {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &Error{Operation: operation, Kind: KindUnavailable, Err: context.Cause(ctx)}
		}
	}
}

// usable refuses at once while the log cannot be used or the state is doubted.
func (k *Keeper) usable(operation string) error {
	switch k.Status() {
	case StatusDown:
		return fail(operation, KindUnavailable, "the log service cannot be reached")
	case StatusExpired:
		return fail(operation, KindUnavailable, "this node misses records that have expired")
	}
	if !k.Ready() {
		return fail(operation, KindNotReady, "this node does not know the newest state yet")
	}
	return nil
}

// judge returns the outcome that the proposal would have now. A refusal by a
// state that may be behind is judged again at the log's end.
func (k *Keeper) judge(ctx context.Context, p *cowsliptallyv1.Proposal) (*cowsliptallyv1.Verdict, error) {
	verdict, _ := k.State().Judge(p)
	if verdict.GetRefusal() == "" || p.GetBaseRevision() < verdict.GetCurrentRevision() {
		return verdict, nil
	}
	if err := k.Sync(ctx); err != nil {
		return nil, err
	}
	verdict, _ = k.State().Judge(p)
	return verdict, nil
}

func (k *Keeper) append(ctx context.Context, operation string, record *cowsliptallyv1.Record) error {
	payload, err := proto.Marshal(record)
	if err != nil {
		return &Error{Operation: operation, Kind: KindInvalid, Err: err}
	}
	_, err = k.log.Append(ctx, Stream, payload)
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

// awaitVerdict waits until the operation is folded.
func (k *Keeper) awaitVerdict(ctx context.Context, id string) (*cowsliptallyv1.Verdict, error) {
	ctx, cancel := k.bound(ctx)
	defer cancel()
	for {
		changed := k.changes()
		if verdict, found := k.State().Result(id); found {
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fail("propose", KindUnknown, "operation %q was not read back in time; ask for it again by this identifier", id)
		}
	}
}

// bound ends ctx after the read-back time of the keeper's clock.
func (k *Keeper) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := k.clock.AfterFunc(k.readback, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
