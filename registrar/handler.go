package registrar

import (
	"context"
	"errors"
	"math"
	"net/netip"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Announce registers a backend server or renews its lease.
func (r *Registrar) Announce(
	_ context.Context, request *connect.Request[cowsliptallyv1.AnnounceRequest],
) (*connect.Response[cowsliptallyv1.AnnounceResponse], error) {
	sequence, err := r.announce(request.Msg)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&cowsliptallyv1.AnnounceResponse{
		LeaseMs:  uint32(r.lease.Milliseconds()),
		Sequence: sequence,
	}), nil
}

// Leave marks a backend server as draining, so that it gets no new work, and returns
// the number of requests in flight on it.
func (r *Registrar) Leave(
	_ context.Context, request *connect.Request[cowsliptallyv1.LeaveRequest],
) (*connect.Response[cowsliptallyv1.LeaveResponse], error) {
	id := fleet.BackendID(request.Msg.GetId())
	if err := r.leave(id); err != nil {
		return nil, connectError(err)
	}
	response := &cowsliptallyv1.LeaveResponse{}
	if r.counter != nil {
		response.InFlight = uint32(max(0, r.counter.InFlight(id)))
	}
	return connect.NewResponse(response), nil
}

func (r *Registrar) leave(id fleet.BackendID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, found := r.entries[id]
	if !found {
		return fault.New("leave", KindUnknown, "backend server %q is not on this VM", id)
	}
	r.recordLeft(e, "leaves")
	return nil
}

func (r *Registrar) announce(m *cowsliptallyv1.AnnounceRequest) (uint64, error) {
	if err := validate(m); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	announced := r.backend(m)
	e, found := r.entries[announced.ID]
	if !found {
		e = &registration{}
		announced.Sequence = r.firstSequence(announced.ID, m.GetSequence())
		reason := "announced"
		if r.directory != nil && r.directory.HasLeft(announced.ID, r.node) {
			// It left before this node was restarted.
			announced, e.left = announced.WithLeft(), true
			reason = "announced, but left before"
		}
		r.entries[announced.ID] = e
		r.change(e, announced, reason)
	}
	if e.left && announced.AcceptsRequests() {
		return 0, fault.New("announce", KindLeft, "backend server %q left and cannot come back", announced.ID)
	}
	e.expires = r.clock.Now().Add(r.lease)
	announced.Sequence, announced.Left = e.backend.Sequence, e.backend.Left
	if announced != e.backend {
		announced.Sequence++
		r.change(e, announced, "announced")
	}
	return e.backend.Sequence, nil
}

// firstSequence returns a sequence number above all those of earlier owners.
func (r *Registrar) firstSequence(id fleet.BackendID, sequence uint64) uint64 {
	if r.directory != nil {
		if entry, found := r.directory.Backend(id); found {
			sequence = max(sequence, entry.Sequence)
		}
	}
	return nextOwnerSequence(sequence)
}

func (r *Registrar) backend(m *cowsliptallyv1.AnnounceRequest) fleet.Backend {
	return fleet.Backend{
		ID:      fleet.BackendID(m.GetId()),
		Service: fleet.ServiceName(m.GetService()),
		Owner:   r.node,
		Zone:    r.zone,
		Address: m.GetAddress(),
		Slots:   int(m.GetSlots()),
		State:   fleet.BackendState(m.GetState()),
	}
}

func validate(m *cowsliptallyv1.AnnounceRequest) error {
	if m.GetId() == "" {
		return fault.New("announce", KindInvalid, "backend server identifier is empty")
	}
	if m.GetService() == "" {
		return fault.New("announce", KindInvalid, "service of backend server %q is empty", m.GetId())
	}
	if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
		return fault.New("announce", KindInvalid, "address %q of backend server %q is not IP:port",
			m.GetAddress(), m.GetId())
	}
	if m.GetSlots() == 0 || m.GetSlots() > math.MaxUint16 {
		return fault.New("announce", KindInvalid, "backend server %q has %d slots, expected 1 to %d",
			m.GetId(), m.GetSlots(), math.MaxUint16)
	}
	switch m.GetState() {
	case cowsliptallyv1.BackendState_BACKEND_STATE_STARTING,
		cowsliptallyv1.BackendState_BACKEND_STATE_READY,
		cowsliptallyv1.BackendState_BACKEND_STATE_DRAINING:
		return nil
	default:
		return fault.New("announce", KindInvalid, "backend server %q announced state %s",
			m.GetId(), m.GetState())
	}
}

func connectError(err error) error {
	var failed *Error
	if !errors.As(err, &failed) {
		return connect.NewError(connect.CodeInternal, err)
	}
	switch failed.Kind {
	case KindInvalid:
		return connect.NewError(connect.CodeInvalidArgument, err)
	case KindLeft:
		return connect.NewError(connect.CodeFailedPrecondition, err)
	default:
		return connect.NewError(connect.CodeNotFound, err)
	}
}
