package daemon

import (
	"errors"

	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/keeper"
)

// registerGauges adds what a node is at the moment to its metrics.
func (d *Daemon) registerGauges() error {
	gauges := map[string]func() int64{
		"node.revision":  func() int64 { return int64(d.configurations.Configuration().Revision()) },
		"node.live":      func() int64 { return int64(d.prober.Nodes()) },
		"node.inflight":  func() int64 { return int64(d.forwarder.InFlight()) },
		"node.bodybytes": d.memory.Reserved,
		"node.running":   func() int64 { running, _ := d.slots(); return running },
		"node.waiting":   func() int64 { _, waiting := d.slots(); return waiting },
		"node.logreachable": func() int64 {
			if d.logStatus() == keeper.StatusUp {
				return 1
			}
			return 0
		},
	}
	var errs []error
	for name, read := range gauges {
		errs = append(errs, d.registry.Register(name, metrics.NewFunctionalGauge(read)))
	}
	return errors.Join(errs...)
}

// slots returns the requests that run on the backend servers of this VM, and those that wait.
func (d *Daemon) slots() (running, waiting int64) {
	for _, backend := range d.registrar.Local() {
		r, w := d.dispatcher.Load(backend.ID)
		running += int64(r)
		waiting += int64(w)
	}
	return running, waiting
}
