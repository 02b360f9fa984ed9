// Package ejector turns the evidence of several nodes into ejections that the
// fleet agrees on through the log, and takes them back after a while.
//
// A node with evidence tells the owner of the backend server and one deputy,
// chosen by rendezvous hashing, so that a slow or cut off owner does not keep
// its own backend server in. Whoever holds enough testimony proposes; the fold
// accepts or refuses, so two proposals do no harm.
package ejector
