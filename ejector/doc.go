// Package ejector turns the evidence of several nodes into ejections that the
// fleet agrees on through the log, and ends them after a time.
//
// A node reports its evidence to the owner of the backend server and to one backup
// node, chosen by rendezvous hashing, so that a slow or unreachable owner does not
// prevent the ejection of its own backend server. The owner or backup node with
// sufficient evidence proposes; applying the records accepts or refuses each
// proposal, so duplicate proposals are harmless.
package ejector
