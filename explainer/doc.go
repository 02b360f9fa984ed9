// Package explainer merges the journals of many nodes into one story in order
// and tells it as text. It does no I/O.
package explainer
