package registrar

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/fault"
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Ready waits until it is known which backend servers left before the node's start; until then
// none is registered.
func (r *Registrar) Ready(ctx context.Context) error {
	if err := r.departures.Ready(ctx); err != nil {
		return fault.New("announce", KindUnavailable, "earlier departures are not known: %w", err)
	}
	return nil
}

// Announce registers a backend server or renews its lease.
func (r *Registrar) Announce(
	ctx context.Context, request *connect.Request[cowsliptallyv1.AnnounceRequest],
) (*connect.Response[cowsliptallyv1.AnnounceResponse], error) {
	if err := r.Ready(ctx); err != nil {
		return nil, connectError(err)
	}
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
// the number of requests in flight on it. The answer is given once the departure is recorded.
func (r *Registrar) Leave(
	ctx context.Context, request *connect.Request[cowsliptallyv1.LeaveRequest],
) (*connect.Response[cowsliptallyv1.LeaveResponse], error) {
	id := fleet.BackendID(request.Msg.GetId())
	if _, found := r.Backend(id); !found {
		return nil, connectError(fault.New("leave", KindUnknown, "backend server %q is not on this VM", id))
	}
	if err := r.RecordDeparture(ctx, id); err != nil {
		return nil, connectError(err)
	}
	response := &cowsliptallyv1.LeaveResponse{}
	if r.counter != nil {
		response.InFlight = uint32(max(0, r.counter.InFlight(id)))
	}
	return connect.NewResponse(response), nil
}

// RecordDeparture records that a backend server left this VM, whether it is registered or not,
// and marks it as draining. An error of KindUnavailable means that the departure may not
// outlive the process.
func (r *Registrar) RecordDeparture(ctx context.Context, id fleet.BackendID) error {
	if err := checkName("identifier", string(id)); err != nil {
		return fault.New("leave", KindInvalid, "%w", err)
	}
	r.markLeft(func(registered fleet.BackendID) bool { return registered == id })
	r.vacateUnknown(id)
	if err := r.departures.Record(ctx, id); err != nil {
		return fault.New("leave", KindUnavailable, "departure of backend server %q is not recorded: %w", id, err)
	}
	// Also those that were registered meanwhile, and earlier starts that it stands for.
	r.markLeft(r.departures.Contains)
	return nil
}

// vacateUnknown records the departure of a backend server that is not registered: it announced itself to an earlier
// process of this node.
func (r *Registrar) vacateUnknown(id fleet.BackendID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.entries[id]; !found {
		r.vacate()
	}
}

// markLeft marks the registered backend servers that a function selects as leaving.
func (r *Registrar) markLeft(selected func(fleet.BackendID) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.sortedIDs() {
		if selected(id) {
			r.recordLeft(r.entries[id], "leaves")
		}
	}
}

func (r *Registrar) announce(m *cowsliptallyv1.AnnounceRequest) (uint64, error) {
	if err := r.Check(m); err != nil {
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
		if r.hasLeft(announced.ID) {
			// It left before this node was restarted, or before it was announced here.
			announced, e.left = announced.WithLeft(), true
			reason = "announced, but left before"
			r.vacate()
		}
		r.entries[announced.ID] = e
		r.change(e, announced, reason)
	}
	if e.left && announced.AcceptsRequests() {
		return 0, fault.New("announce", KindLeft, "backend server %q left and cannot come back", announced.ID)
	}
	e.expires = r.clock.Now().Add(r.lease)
	announced.Sequence, announced.Left = e.backend.Sequence, e.backend.Left
	r.vacated = r.vacated && !announced.AcceptsRequests()
	if announced != e.backend {
		announced.Sequence++
		r.change(e, announced, "announced")
	}
	return e.backend.Sequence, nil
}

// hasLeft reports whether a backend server left this VM, by the record or by another node.
func (r *Registrar) hasLeft(id fleet.BackendID) bool {
	return r.departures.Contains(id) || r.directory != nil && r.directory.HasLeft(id, r.node)
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

// Check reports whether an announcement could be that of a backend server.
func (r *Registrar) Check(m *cowsliptallyv1.AnnounceRequest) error {
	if err := checkName("identifier", m.GetId()); err != nil {
		return fault.New("announce", KindInvalid, "%w", err)
	}
	if err := checkName("service", m.GetService()); err != nil {
		return fault.New("announce", KindInvalid, "backend server %q: %w", m.GetId(), err)
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return fault.New("announce", KindInvalid, "address %.80q of backend server %q is not the IP:port of a server",
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

// checkName checks a name that is sent to other nodes, as text and in headers.
func checkName(what, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s is empty", what)
	case len(name) > maxNameBytes:
		return fmt.Errorf("%s has %d bytes, at most %d are allowed", what, len(name), maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Errorf("%s %q is not printable text", what, name)
	}
	return nil
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
	case KindUnavailable:
		return connect.NewError(connect.CodeUnavailable, err)
	default:
		return connect.NewError(connect.CodeNotFound, err)
	}
}
