// Package server is an in-memory stand-in for the platform's append-only log
// service. Tests and the demo inject faults into it.
package server
