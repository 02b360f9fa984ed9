package daemon

import (
	"context"
	"errors"
)

// shutdown stops new work, tells the fleet and waits for requests in flight.
func (d *Daemon) shutdown(s *servers) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Shutdown)
	defer cancel()
	d.registrar.DrainAll()
	d.forwarder.Drain()
	d.dispatcher.Drain()
	leaveErr := d.prober.Leave(ctx)
	if leaveErr != nil {
		d.logger.Warn("leave", "node", d.self.ID, "err", leaveErr)
	}
	s.farewell.wait(ctx)
	err := errors.Join(d.forwarder.Shutdown(ctx), d.dispatcher.Shutdown(ctx), s.close(ctx))
	if err == nil {
		return nil
	}
	return &Error{Operation: "finish requests in flight", Kind: KindShutdown, Err: err}
}
