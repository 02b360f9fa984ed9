// Package server is a small stand-in for the platform's append-only log
// service, with faults that tests and the demo switch on.
package server
