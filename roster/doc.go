// Package roster provides the membership table: a compact table of all nodes and backend
// servers, with one writer for each entry.
package roster
