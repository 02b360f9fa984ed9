// Package recorder records the events of a node. Each event is logged, counted and
// kept in a bounded journal, which is readable by RPC.
package recorder
