// Package roster keeps what a node knows of all nodes and backend servers, in a
// compact table with one writer for each entry.
package roster
