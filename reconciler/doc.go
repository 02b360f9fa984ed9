// Package reconciler keeps the log's list of backend servers true: it appends
// the joins and leaves that are missing for the backend servers of this node,
// and, at the node chosen for it, leaves for those of dead nodes.
//
//	r := reconciler.New(self, keeper, registrar.Local, roster.Members)
//	go r.Run(ctx)
package reconciler
