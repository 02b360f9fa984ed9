// Package relay passes TCP connections on to a target and cuts or delays one
// direction on command. It stands for the network between two processes.
package relay
