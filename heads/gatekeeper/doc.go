// Package gatekeeper bounds what the connections of one port cost a node: how many there are,
// and the memory for heads of requests from their first byte until their answers are written.
// It addresses untrusted clients that send heads of very many lines, over the limit or without
// end, or that open connections and send next to nothing.
//
//	g := gatekeeper.New(listener, gatekeeper.Limits{...})
//	server := &http.Server{Handler: g.Handler(handler), ConnContext: g.Context}
//	err := server.Serve(g)
package gatekeeper
