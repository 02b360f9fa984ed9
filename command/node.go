package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"cowsliptally.example/cowsliptally/daemon"
	"cowsliptally.example/cowsliptally/settings"
)

// Node runs a node until SIGTERM or SIGINT.
type Node struct {
	settings.Node `embed:""`
}

// Run checks the settings and serves.
func (n *Node) Run(*Context) error {
	if err := n.Check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return trace.Wrap(daemon.New(n.Node, daemon.WithLogger(newLogger(n.LogLevel))).Run(ctx))
}

// newLogger returns a logger that writes one key=value line for each event.
func newLogger(level string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	return log.NewWithOptions(os.Stderr, log.Options{
		Level:           parsed,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
}
