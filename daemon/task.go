package daemon

import (
	"context"
	"errors"
	"maps"
	"slices"

	"cowsliptally.example/cowsliptally/evaluator"
)

// task is a background task with a goroutine of its own.
type task struct {
	name string
	run  func(context.Context) error
}

func (d *Daemon) tasks() []task {
	tasks := []task{
		{"registrar", d.registrar.Run},
		{"prober", d.runProber},
		{"spreader", d.broadcaster.Run},
		{"dispatcher", d.dispatcher.Run},
	}
	if d.quota != nil {
		tasks = append(tasks, task{"quota", d.quota.Run})
	}
	if d.source != nil {
		tasks = append(tasks, task{"adopter", d.adopter.Run})
		if !d.ownerEvaluates() {
			tasks = append(tasks, task{"judge", d.runEvaluator})
		}
		return tasks
	}
	return append(tasks,
		task{"keeper", d.replicator.Run},
		task{"reconciler", d.reconciler.Run},
		task{"checkpointer", d.checkpointer.Run},
		task{"ejector", d.ejector.Run})
}

// runProber discovers other nodes, if discovery is configured, and joins the fleet.
func (d *Daemon) runProber(ctx context.Context) error {
	if d.discover != nil {
		addresses, err := d.discover(ctx)
		if err != nil {
			return err
		}
		d.prober.AddSeeds(addresses...)
		if d.quota != nil {
			d.quota.Expect(addresses)
		}
	}
	return d.prober.Run(ctx)
}

// runEvaluator updates health evaluations as time passes on nodes without an ejector.
func (d *Daemon) runEvaluator(ctx context.Context) error {
	ticker := d.clock.NewTicker(evaluator.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			for _, event := range d.evaluator.Tick(d.clock.Now()) {
				d.journal.Record(event)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startTasks starts all background tasks with a context of their own, which stop
// cancels: the tasks continue while requests in flight finish. The error of a task
// that ends before stop is sent on the channel. stop returns a channel on which the name of
// each task is sent once it has ended.
func (d *Daemon) startTasks(ctx context.Context) (failed <-chan error, stop func() <-chan string) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	tasks := d.tasks()
	ended := make(chan error, len(tasks))
	done := make(chan string, len(tasks))
	for _, task := range tasks {
		go func() {
			defer func() { done <- task.name }()
			err := task.run(ctx)
			if ctx.Err() == nil {
				ended <- &Error{Operation: task.name, Kind: KindTask, Err: errors.Join(errors.New("ended unexpectedly"), err)}
			}
		}()
	}
	return ended, func() <-chan string {
		cancel()
		return done
	}
}

// stopTasks ends the background tasks, and logs those that do not end in time.
func (d *Daemon) stopTasks(stop func() <-chan string) {
	defer d.waitFor("background tasks")()
	running := make(map[string]bool)
	for _, task := range d.tasks() {
		running[task.name] = true
	}
	ended := stop()
	timer := d.clock.NewTimer(stopTasksTime)
	defer timer.Stop()
	for len(running) > 0 {
		select {
		case name := <-ended:
			delete(running, name)
		case <-timer.Chan():
			d.logger.Warn("shutdown", "node", d.self.ID, "unfinished", slices.Sorted(maps.Keys(running)))
			return
		}
	}
}
