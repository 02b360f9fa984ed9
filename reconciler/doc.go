// Package reconciler keeps the log's list of backend servers up to date: it
// appends the joins and leaves that are missing for the backend servers of this
// node and, at the responsible node, leaves for those of dead nodes.
//
//	r := reconciler.New(self, replicator, registrar.Local, table.Members)
//	go r.Run(ctx)
package reconciler
