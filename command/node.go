package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"cowsliptally.example/cowsliptally/daemon"
	"cowsliptally.example/cowsliptally/settings"
	"cowsliptally.example/cowsliptally/spooler"
)

// Node runs a node until SIGTERM or SIGINT.
type Node struct {
	settings.Node `embed:""`
}

// Run checks the settings and runs the node.
func (n *Node) Run(*Context) error {
	if err := n.Check(); err != nil {
		return err
	}
	n.LimitMemory()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	registry := metrics.NewRegistry()
	lines, stopLines := spooler.Start(os.Stdout, clockwork.NewRealClock(), registry)
	err := daemon.New(n.Node,
		daemon.WithLogger(newLogger(lines, n.LogLevel)),
		daemon.WithRegistry(registry)).Run(ctx)
	return trace.NewAggregate(err, stopLines())
}

// newLogger returns a logger that writes one logfmt line for each event.
func newLogger(out io.Writer, level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return log.NewWithOptions(out, log.Options{
		Level:           parsed,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
}
