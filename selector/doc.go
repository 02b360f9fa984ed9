// Package selector ranks nodes for a task by rendezvous hashing, so that the
// first node normally performs it and the next one takes over if it does not.
//
//	rank := selector.New(members).Rank(self, "checkpoint/1200")
package selector
