// Package selector ranks nodes for a task by rendezvous hashing, so that one
// node does it as a rule and the next one after it when that one does not.
//
//	rank := selector.New(members).Rank(self, "checkpoint/1200")
package selector
