// Package proof contains tests that inject faults into real processes and check
// the outcomes reported to callers against the runs of the backend servers.
package proof
