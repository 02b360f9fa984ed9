package daemon

import (
	"errors"
	runtime "runtime/metrics"
	"time"

	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/replicator"
)

// unknownAge is the value of an age gauge whose event has not happened yet.
const unknownAge = -1

// registerGauges registers gauges of the node's current state.
func (d *Daemon) registerGauges() error {
	gauges := map[string]func() int64{
		"node.revision":      func() int64 { return int64(d.configurations.Configuration().Revision()) },
		"node.revisionagems": func() int64 { return d.age(d.configurations.LastConfirmed()) },
		"node.live":          func() int64 { return int64(d.prober.Nodes()) },
		"node.rosteragems":   func() int64 { return d.age(d.prober.LastExchange()) },
		"node.inflight":      func() int64 { return int64(d.forwarder.InFlight()) },
		"node.bodybytes":     d.memory.Reserved,
		"node.headbytes":     d.heads.Reserved,
		"node.memorybytes":   memory,
		"node.running":       func() int64 { running, _ := d.slots(); return running },
		"node.waiting":       func() int64 { _, waiting := d.slots(); return waiting },
		"node.slots":         d.slotsOwned,
		"node.doubted":       func() int64 { return int64(d.dispatcher.FailingCount()) },
		"node.declined":      d.dispatcher.Declined,
		"node.avoided":       func() int64 { return int64(d.forwarder.UnreachableNodes()) },
		"node.retriesleft":   func() int64 { return int64(d.forwarder.RemainingRetries()) },
		"node.logreachable": func() int64 {
			if d.logStatus() == replicator.StatusUp {
				return 1
			}
			return 0
		},
	}
	if d.adopter != nil {
		gauges["node.readagems"] = func() int64 { return d.age(d.adopter.LastRead()) }
	}
	var errs []error
	for name, read := range gauges {
		errs = append(errs, d.registry.Register(name, metrics.NewFunctionalGauge(read)))
	}
	return errors.Join(errs...)
}

// age returns the milliseconds since a time, or unknownAge for the zero time.
func (d *Daemon) age(since time.Time) int64 {
	if since.IsZero() {
		return unknownAge
	}
	return d.clock.Since(since).Milliseconds()
}

// memory returns the bytes of memory that the process holds from the operating system.
func memory() int64 {
	samples := []runtime.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	runtime.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// slots returns the numbers of requests that run on, and wait for, the backend servers of this VM.
func (d *Daemon) slots() (running, waiting int64) {
	for _, backend := range d.registrar.Local() {
		r, w := d.dispatcher.Load(backend.ID)
		running += int64(r)
		waiting += int64(w)
	}
	return running, waiting
}

// slotsOwned returns the number of slots of the backend servers of this VM.
func (d *Daemon) slotsOwned() (count int64) {
	for _, backend := range d.registrar.Local() {
		count += int64(backend.Slots)
	}
	return count
}
