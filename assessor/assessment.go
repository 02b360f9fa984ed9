package assessor

import (
	"fmt"
	"strings"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Assessment is the state of a fleet as one node sees it.
type Assessment struct {
	Node     string    `json:"node"`
	Revision uint64    `json:"revision"`
	Log      string    `json:"log"`
	Services []Service `json:"services"`
	// Alive and Away count nodes; Away are suspected or dead.
	Alive int `json:"alive"`
	Away  int `json:"away"`
	// Behind are the nodes that lack the revision or did not answer.
	Behind []Behind `json:"behind"`
	// Risks say which promises are at risk; none when empty.
	Risks []string `json:"risks"`
}

// Service is one service's capacity against its floor.
type Service struct {
	Name         string    `json:"name"`
	HealthySlots uint32    `json:"healthy"`
	FloorSlots   uint32    `json:"floor"`
	Backends     int       `json:"backends"`
	Doubted      []Doubted `json:"doubted"`
}

// Doubted is a backend server that is not fully trusted.
type Doubted struct {
	ID     string `json:"id"`
	Health string `json:"health"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Behind is a node without the revision.
type Behind struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	Failure  string `json:"failure,omitempty"`
}

// New assesses a node's status and the nodes that are behind.
func New(status *cowsliptallyv1.GetStatusResponse, behind []*cowsliptallyv1.NodeRevision) Assessment {
	a := Assessment{
		Node: status.GetNode(), Revision: status.GetRevision(), Log: status.GetLog(),
		Services: []Service{}, Behind: []Behind{}, Risks: []string{},
	}
	for _, service := range status.GetServices() {
		a.Services = append(a.Services, newService(service))
	}
	for _, member := range status.GetMembers() {
		a.countMember(member.GetState())
	}
	for _, node := range behind {
		a.Behind = append(a.Behind, Behind{Node: node.GetNode(), Revision: node.GetRevision(), Failure: node.GetError()})
	}
	a.Risks = append(a.Risks, a.risks()...)
	return a
}

func (a *Assessment) countMember(state cowsliptallyv1.MemberState) {
	switch state {
	case cowsliptallyv1.MemberState_MEMBER_STATE_ALIVE:
		a.Alive++
	case cowsliptallyv1.MemberState_MEMBER_STATE_SUSPECT, cowsliptallyv1.MemberState_MEMBER_STATE_DEAD:
		a.Away++
	}
}

func newService(message *cowsliptallyv1.ServiceStatus) Service {
	service := Service{
		Name: message.GetName(), HealthySlots: message.GetHealthySlots(),
		FloorSlots: message.GetMinHealthySlots(), Doubted: []Doubted{},
	}
	for _, backend := range message.GetBackends() {
		state := backend.GetBackend().GetState()
		if state == cowsliptallyv1.BackendState_BACKEND_STATE_GONE {
			continue
		}
		service.Backends++
		doubted := Doubted{
			ID: backend.GetBackend().GetId(), Reason: backend.GetReason(),
			Health: word(backend.GetHealth().String(), "HEALTH_STATE_"),
			State:  word(state.String(), "BACKEND_STATE_"),
		}
		if doubted.Health != "healthy" || doubted.State != "ready" {
			service.Doubted = append(service.Doubted, doubted)
		}
	}
	return service
}

// risks lists the promises that the state puts at risk.
func (a *Assessment) risks() []string {
	var risks []string
	for _, service := range a.Services {
		if service.HealthySlots < service.FloorSlots {
			risks = append(risks, fmt.Sprintf("service %s has %d healthy slots under its floor of %d",
				service.Name, service.HealthySlots, service.FloorSlots))
		}
	}
	if len(a.Behind) > 0 {
		risks = append(risks, fmt.Sprintf("revision %d is not known to be in force at %d nodes", a.Revision, len(a.Behind)))
	}
	if a.Log == "down" {
		risks = append(risks, "the log service is down: no configuration and no ejection can be accepted")
	}
	return risks
}

// word turns a name of the schema into a lower-case word.
func word(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
