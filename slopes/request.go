package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cowsliptally.example/cowsliptally/fleet"
)

// clients is the number of callers that send requests one after another.
const clients = 8

// measureRequests measures the processor time of requests through an ingress and an
// owner, and that of the same requests sent directly to the backend server. The
// difference is the cost of the nodes.
func measureRequests(arguments) ([]measurement, error) {
	f, err := startNodes(2)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	if err := f.configure(); err != nil {
		return nil, err
	}
	if err := f.awaitAnswer(); err != nil {
		return nil, err
	}
	through := measurement{name: "through ingress and owner, with client and backend server", per: "request", unit: "µs"}
	direct := measurement{name: "straight to the backend server, with client", per: "request", unit: "µs"}
	for _, n := range []int{2000, 4000, 8000, 16000} {
		for _, target := range []struct {
			address string
			points  *measurement
		}{{f.nodes[0].CallerAddress, &through}, {f.backend, &direct}} {
			before := processorTime()
			if err := sendAll(target.address, n); err != nil {
				return nil, err
			}
			target.points.add(float64(n), float64((processorTime() - before).Microseconds()))
		}
	}
	return []measurement{through, direct}, nil
}

// awaitAnswer waits until a request through the ingress succeeds.
func (f *nodeFleet) awaitAnswer() error {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var err error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = sendOne(client, f.nodes[0].CallerAddress, "warm"); err == nil {
			return nil
		}
	}
	return err
}

// sendAll sends a number of requests from several clients.
func sendAll(address string, count int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	errs := make(chan error, clients)
	var callers sync.WaitGroup
	for c := range clients {
		callers.Go(func() {
			for i := range count / clients {
				if err := sendOne(client, address, fmt.Sprintf("%d-%d-%d", count, c, i)); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	callers.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

func sendOne(client *http.Client, address, id string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+sampleRoute(0).PathPrefix, nil)
	if err != nil {
		return err
	}
	request.Header.Set(fleet.HeaderRequestID, id)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request to %s answered %d: %s", address, response.StatusCode, response.Header.Get(fleet.HeaderReason))
	}
	return nil
}
