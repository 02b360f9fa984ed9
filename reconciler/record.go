package reconciler

import (
	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

func join(b fleet.Backend) *cowsliptallyv1.Record {
	body := &cowsliptallyv1.Join{Backend: translator.BackendToMessage(b)}
	return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Join{Join: body}}
}

func leave(b fleet.Backend, node fleet.NodeID, reason string) *cowsliptallyv1.Record {
	body := &cowsliptallyv1.Leave{Backend: string(b.ID), Node: string(node), Reason: reason, Owner: string(b.Owner)}
	return &cowsliptallyv1.Record{Body: &cowsliptallyv1.Record_Leave{Leave: body}}
}
