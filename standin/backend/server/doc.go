// Package server is a stand-in for a backend server. It runs requests in a fixed
// number of slots, records each run in a ledger and injects faults on command.
package server
