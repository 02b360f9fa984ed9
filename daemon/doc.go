// Package daemon assembles a node from its parts and runs it as one process: two
// HTTP servers and a goroutine for each background task.
package daemon
