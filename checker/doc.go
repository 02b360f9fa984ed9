// Package checker compares the outcomes reported to callers with the runs
// recorded by backend servers. It does no I/O.
package checker
