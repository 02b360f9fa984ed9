// Package checkpointer appends checkpoints of the replicated state to the fleet's
// stream, well before the log service drops the records that they replace.
//
//	c := checkpointer.New(self, replicator, table.Members, checkpointer.WithMaxInterval(time.Hour))
//	go c.Run(ctx)
package checkpointer
