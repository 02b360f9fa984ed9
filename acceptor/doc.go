// Package acceptor accepts callers' connections for an http.Server. Its connections are
// read ahead while a request is being served, so that the end of a connection is noticed
// behind pipelined requests, where net/http stops reading. They are closed such that the
// last answer arrives although later requests are unread.
//
//	a := acceptor.New(listener)
//	server := &http.Server{Handler: handler, ConnContext: acceptor.Context}
//	err := server.Serve(a)
package acceptor
