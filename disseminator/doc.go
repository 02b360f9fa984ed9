// Package disseminator selects the changes that a node sends to its peers, each a bounded
// number of times, in messages of bounded size.
package disseminator
