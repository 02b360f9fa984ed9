package harness

import (
	"fmt"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// unready says what a node still lacks, or "" when it lacks nothing.
func (h *Harness) unready(vm *VM, revision uint64, backends int) string {
	status, err := h.Status(vm)
	if err != nil {
		return fmt.Sprintf("%s: %v", vm.NodeName(), err)
	}
	if status.GetRevision() < revision {
		return fmt.Sprintf("%s has revision %d of %d", vm.NodeName(), status.GetRevision(), revision)
	}
	if known := countReady(status); known != backends {
		return fmt.Sprintf("%s knows %d of %d backend servers", vm.NodeName(), known, backends)
	}
	return ""
}

// countReady counts the backend servers that take work in a node's view.
func countReady(status *cowsliptallyv1.GetStatusResponse) int {
	known := 0
	for _, service := range status.GetServices() {
		for _, backend := range service.GetBackends() {
			switch backend.GetBackend().GetState() {
			case cowsliptallyv1.BackendState_BACKEND_STATE_READY,
				cowsliptallyv1.BackendState_BACKEND_STATE_STARTING:
				known++
			}
		}
	}
	return known
}
