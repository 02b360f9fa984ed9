// Package caller sends requests to nodes at a steady rate, whatever they
// answer, and records what it was told about each.
package caller
