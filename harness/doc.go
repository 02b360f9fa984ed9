// Package harness runs a fleet as processes on loopback addresses: the log
// service's stand-in, nodes and backend servers. It also injects faults.
package harness
