// Package tailer follows a stream of an append-only log: it delivers the
// records in order, waits for new ones, and retries with backoff while the log
// service is unavailable.
//
//	t := tailer.New(log, tailer.WithWait(5*time.Second))
//	err := t.Run(ctx, "fleet", position, handle)
package tailer
