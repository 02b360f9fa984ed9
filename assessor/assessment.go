package assessor

import (
	"fmt"
	"strings"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Assessment is the state of a fleet as one node reports it.
type Assessment struct {
	Node     string    `json:"node"`
	Revision uint64    `json:"revision"`
	Log      string    `json:"log"`
	Services []Service `json:"services"`
	// Alive and Away count the nodes that are alive, and suspected or dead.
	Alive int `json:"alive"`
	Away  int `json:"away"`
	// Behind lists the nodes that lack the revision or did not answer.
	Behind []LaggingNode `json:"behind"`
	// Quotas are those that the node grants, the most used first.
	Quotas []Quota `json:"quotas,omitempty"`
	// Risks describes each guarantee that is at risk; empty if none is.
	Risks []string `json:"risks"`
}

// Service compares a service's healthy capacity with its floor.
type Service struct {
	Name         string            `json:"name"`
	HealthySlots uint32            `json:"healthy"`
	FloorSlots   uint32            `json:"floor"`
	Backends     int               `json:"backends"`
	Doubted      []ImpairedBackend `json:"doubted"`
}

// ImpairedBackend is a backend server that is not both healthy and ready.
type ImpairedBackend struct {
	ID     string `json:"id"`
	Health string `json:"health"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// Quota is the limit and use of one organisation over the whole fleet.
type Quota struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate"`
	Burst        uint32  `json:"burst"`
	// Used is the number of requests granted in the last whole second.
	Used uint32 `json:"used"`
}

// LaggingNode is a node that lacks the revision or did not answer.
type LaggingNode struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	Failure  string `json:"failure,omitempty"`
}

// New returns the assessment of a node's status and of the nodes that are behind.
func New(status *cowsliptallyv1.GetStatusResponse, behind []*cowsliptallyv1.NodeRevision) Assessment {
	a := Assessment{
		Node: status.GetNode(), Revision: status.GetRevision(), Log: status.GetLog(),
		Services: []Service{}, Behind: []LaggingNode{}, Risks: []string{},
	}
	for _, service := range status.GetServices() {
		a.Services = append(a.Services, newService(service))
	}
	for _, member := range status.GetMembers() {
		a.countMember(member.GetState())
	}
	for _, node := range behind {
		a.Behind = append(a.Behind, LaggingNode{Node: node.GetNode(), Revision: node.GetRevision(), Failure: node.GetError()})
	}
	for _, use := range status.GetQuotas() {
		a.Quotas = append(a.Quotas, Quota{
			Organisation: use.GetOrganisation(), Rate: use.GetRequestsPerSecond(), Burst: use.GetBurst(), Used: use.GetGranted(),
		})
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
		FloorSlots: message.GetMinHealthySlots(), Doubted: []ImpairedBackend{},
	}
	for _, backend := range message.GetBackends() {
		state := backend.GetBackend().GetState()
		if state == cowsliptallyv1.BackendState_BACKEND_STATE_GONE {
			continue
		}
		service.Backends++
		impaired := ImpairedBackend{
			ID: backend.GetBackend().GetId(), Reason: backend.GetReason(),
			Health: enumWord(backend.GetHealth().String(), "HEALTH_STATE_"),
			State:  enumWord(state.String(), "BACKEND_STATE_"),
		}
		if impaired.Health != "healthy" || impaired.State != "ready" {
			service.Doubted = append(service.Doubted, impaired)
		}
	}
	return service
}

// risks returns a description of each guarantee that is at risk.
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

// enumWord returns the name of an enum value in lower case, without the prefix.
func enumWord(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
