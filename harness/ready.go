package harness

import (
	"fmt"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// notReadyReason returns why a node is not ready, or "" if it is.
func (h *Harness) notReadyReason(vm *VM, revision uint64, backends int) string {
	status, err := h.Status(vm)
	if err != nil {
		return fmt.Sprintf("%s: %v", vm.NodeName(), err)
	}
	if status.GetRevision() < revision {
		return fmt.Sprintf("%s has revision %d, want %d", vm.NodeName(), status.GetRevision(), revision)
	}
	if ready := countReady(status); ready != backends {
		return fmt.Sprintf("%s lists %d ready or starting backend servers, want %d", vm.NodeName(), ready, backends)
	}
	return ""
}

// countReady counts the ready and starting backend servers in a node's view.
func countReady(status *cowsliptallyv1.GetStatusResponse) int {
	count := 0
	for _, service := range status.GetServices() {
		for _, backend := range service.GetBackends() {
			switch backend.GetBackend().GetState() {
			case cowsliptallyv1.BackendState_BACKEND_STATE_READY,
				cowsliptallyv1.BackendState_BACKEND_STATE_STARTING:
				count++
			}
		}
	}
	return count
}
