// Package pipeliner begins pipelined requests while the ones before them are served, as far
// as they may run twice, and returns their answers in order. net/http serves the requests of
// a connection one after the other, so a caller that pipelines would wait for the sum of
// their times.
//
//	server.Handler = pipeliner.New(handler, pipeliner.WithEligible(idempotent))
//	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
//		return pipeliner.Context(acceptor.Context(ctx, c))
//	}
package pipeliner
