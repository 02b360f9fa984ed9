// Package checker compares what callers were told with what backend servers
// ran. It does no I/O.
package checker
