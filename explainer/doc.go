// Package explainer merges the journals of many nodes into one timeline and
// formats it as text. It does no I/O.
package explainer
