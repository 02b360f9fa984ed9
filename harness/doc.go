// Package harness runs a whole fleet as processes on loopback addresses: the
// log service's stand-in, nodes and backend servers, with their faults.
package harness
