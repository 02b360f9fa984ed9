// Package indexer provides an immutable index whose changed copies share all
// but a few nodes with the original, so that one change among 490,000 entries
// copies some hundred bytes.
//
//	var index indexer.Index[string, Route]
//	index = index.With(route)
//	route, found := index.Get("pickups")
package indexer
