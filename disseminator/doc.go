// Package disseminator decides which changes a node tells its peers, a bounded
// number of times each, in messages of bounded size.
package disseminator
