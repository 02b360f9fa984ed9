package harness

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cowsliptally.example/cowsliptally/standin/backend/server"
)

// pollPeriod is the time between two checks of an awaited condition.
const pollPeriod = 50 * time.Millisecond

// LogFaults are the faults injected into the log service's stand-in.
type LogFaults struct {
	Down bool `json:"down"`
	// Slow is the delay of every response, in milliseconds.
	Slow int `json:"slow"`
	// Lose is the number of appends that take effect without a response.
	Lose int `json:"lose"`
	// Retain is the number of records that a stream keeps; 0 keeps all.
	Retain int `json:"retain"`
}

// StartLog starts the log service's stand-in and waits until it responds.
func (h *Harness) StartLog() error {
	process, err := h.launcher.Start("logservice", h.program("logservice"), "--listen", h.logAddress())
	if err != nil {
		return err
	}
	h.log = process
	return h.Await("the log service responds", callTimeout, func() bool {
		response, err := h.client.Get("http://" + h.logAddress() + "/stats")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// SetLogFaults replaces the faults of the log service's stand-in.
func (h *Harness) SetLogFaults(faults LogFaults) error {
	return h.post("http://"+h.logAddress()+"/faults", faults)
}

// SetFaults replaces the faults of a VM's backend server.
func (h *Harness) SetFaults(vm *VM, faults server.Faults) error {
	return h.post("http://"+vm.BackendAddress+"/faults", faults)
}

// Drain starts draining a VM's backend server.
func (h *Harness) Drain(vm *VM) error {
	return h.post("http://"+vm.BackendAddress+"/drain", struct{}{})
}

// Await polls a condition, named by what, until it holds or the timeout passes.
func (h *Harness) Await(what string, timeout time.Duration, holds func() bool) error {
	end := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(end) {
			return newError("await", KindTimeout, "condition not met within %s: %s", timeout, what)
		}
		time.Sleep(pollPeriod)
	}
	return nil
}

func (h *Harness) logAddress() string { return h.network.address(1, logPort) }

// post sends a command to a stand-in as JSON.
func (h *Harness) post(url string, command any) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	response, err := h.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return newError("post", KindRefused, "%s returned status %d: %s", url, response.StatusCode, text)
	}
	return nil
}
