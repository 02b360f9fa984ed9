// Package checkpointer appends checkpoints of the folded state to the fleet's
// stream, well before the log service drops records that they replace.
//
//	c := checkpointer.New(self, keeper, roster.Members, checkpointer.WithInterval(time.Hour))
//	go c.Run(ctx)
package checkpointer
