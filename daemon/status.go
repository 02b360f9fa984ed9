package daemon

import (
	"cmp"
	"slices"

	"cowsliptally.example/cowsliptally/fleet"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/replicator"
	"cowsliptally.example/cowsliptally/translator"
)

// Status returns this node's view of the fleet.
func (d *Daemon) Status() *cowsliptallyv1.GetStatusResponse {
	configuration := d.configurations.Configuration()
	response := &cowsliptallyv1.GetStatusResponse{
		Node:     string(d.self.ID),
		Revision: uint64(configuration.Revision()),
		Log:      string(d.logStatus()),
	}
	if d.replicator != nil {
		response.NextOffset = d.replicator.State().NextOffset()
	}
	for _, service := range configuration.Services() {
		response.Services = append(response.Services, d.serviceStatus(service))
	}
	for _, member := range d.roster.Members() {
		response.Members = append(response.Members, translator.MemberToMessage(member))
	}
	if d.quota != nil {
		response.Quotas = mostUsed(d.quota.Uses())
	}
	return response
}

// maxQuotas is the number of quotas in a status.
const maxQuotas = 100

// mostUsed returns the quotas that are used most.
func mostUsed(uses []*cowsliptallyv1.QuotaUse) []*cowsliptallyv1.QuotaUse {
	slices.SortFunc(uses, func(a, b *cowsliptallyv1.QuotaUse) int {
		return cmp.Or(cmp.Compare(b.GetGranted(), a.GetGranted()), cmp.Compare(a.GetOrganisation(), b.GetOrganisation()))
	})
	return uses[:min(len(uses), maxQuotas)]
}

// logStatus returns whether the log service or the configuration's source can be reached.
func (d *Daemon) logStatus() replicator.Status {
	switch {
	case d.replicator != nil:
		return d.replicator.Status()
	case d.adopter.SourceReachable():
		return replicator.StatusUp
	default:
		return replicator.StatusDown
	}
}

func (d *Daemon) serviceStatus(service fleet.Service) *cowsliptallyv1.ServiceStatus {
	status := &cowsliptallyv1.ServiceStatus{
		Name:            string(service.Name),
		MinHealthySlots: uint32(service.MinHealthySlots),
	}
	for _, backend := range d.roster.AllBackends(service.Name) {
		health := d.evaluator.Health(backend.ID)
		if health != fleet.Ejected && backend.AcceptsRequests() {
			status.HealthySlots += uint32(backend.Slots)
		}
		status.Backends = append(status.Backends, d.backendStatus(backend, health))
	}
	return status
}

func (d *Daemon) backendStatus(backend fleet.Backend, health fleet.Health) *cowsliptallyv1.BackendStatus {
	status := &cowsliptallyv1.BackendStatus{
		Backend: translator.BackendToMessage(backend),
		Health:  cowsliptallyv1.HealthState(health),
	}
	if ejection, found := (replicatedState{d}).Ejected(backend.ID); found {
		status.Reason = ejection.GetReason()
		return status
	}
	if evidence, found := d.evaluator.OwnEvidence(backend.ID); found {
		status.Reason = string(evidence.Cause)
	}
	return status
}
