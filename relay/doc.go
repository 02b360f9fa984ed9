// Package relay forwards TCP connections to a target and injects faults such as
// cuts and delays, in one direction or both. It emulates the network between two
// processes.
package relay
