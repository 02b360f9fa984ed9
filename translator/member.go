package translator

import (
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// BackendToMessage converts a backend server.
func BackendToMessage(b fleet.Backend) *cowsliptallyv1.BackendServer {
	return &cowsliptallyv1.BackendServer{
		Id:       string(b.ID),
		Service:  string(b.Service),
		Owner:    string(b.Owner),
		Zone:     string(b.Zone),
		Address:  b.Address,
		Slots:    uint32(b.Slots),
		State:    cowsliptallyv1.BackendState(b.State),
		Sequence: b.Sequence,
		Left:     b.Left,
	}
}

// BackendFromMessage converts a backend server message.
func BackendFromMessage(m *cowsliptallyv1.BackendServer) fleet.Backend {
	return fleet.Backend{
		ID:       fleet.BackendID(m.GetId()),
		Service:  fleet.ServiceName(m.GetService()),
		Owner:    fleet.NodeID(m.GetOwner()),
		Zone:     fleet.Zone(m.GetZone()),
		Address:  m.GetAddress(),
		Slots:    int(m.GetSlots()),
		State:    fleet.BackendState(m.GetState()),
		Sequence: m.GetSequence(),
		Left:     m.GetLeft(),
	}
}

// MemberToMessage converts a member.
func MemberToMessage(m fleet.Member) *cowsliptallyv1.Member {
	return &cowsliptallyv1.Member{
		Id:            string(m.ID),
		Incarnation:   m.Incarnation,
		PeerAddress:   m.PeerAddress,
		CallerAddress: m.CallerAddress,
		Zone:          string(m.Zone),
		Region:        string(m.Region),
		State:         cowsliptallyv1.MemberState(m.State),
	}
}

// MemberFromMessage converts a member message.
func MemberFromMessage(m *cowsliptallyv1.Member) fleet.Member {
	return fleet.Member{
		ID:            fleet.NodeID(m.GetId()),
		Incarnation:   m.GetIncarnation(),
		PeerAddress:   m.GetPeerAddress(),
		CallerAddress: m.GetCallerAddress(),
		Zone:          fleet.Zone(m.GetZone()),
		Region:        fleet.Region(m.GetRegion()),
		State:         fleet.MemberState(m.GetState()),
	}
}
