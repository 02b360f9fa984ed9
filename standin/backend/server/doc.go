// Package server is a stand-in for a backend server: it runs requests in a few
// slots, keeps a ledger of what it ran and fails on command.
package server
