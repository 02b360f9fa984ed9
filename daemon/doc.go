// Package daemon joins the parts of a node into one process: two HTTP servers
// and one goroutine for each duty.
package daemon
