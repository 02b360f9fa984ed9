// Package recorder keeps what a node decided: one log line, one counter and one
// entry in a bounded journal for each event, readable by RPC.
package recorder
