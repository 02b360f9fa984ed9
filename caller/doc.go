// Package caller sends requests to nodes at a steady rate, independent of the
// responses, and records the outcome reported for each request.
package caller
