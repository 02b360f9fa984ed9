// Package indexer provides an immutable hash trie. A changed copy shares all but
// a few nodes with the original: one change among 490,000 entries copies a few
// hundred bytes.
//
//	var index indexer.Index[string, Route]
//	index = index.With(route)
//	route, found := index.Get("pickups")
package indexer
