// Command demo runs a whole fleet as separate processes under load and faults
// and compares what callers were told with what backend servers ran.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

type settings struct {
	Seed     uint64        `default:"1" env:"DEMO_SEED" help:"Seed of the load."`
	Rate     float64       `default:"500" env:"DEMO_RATE" help:"Requests a second."`
	Duration time.Duration `default:"40s" env:"DEMO_DURATION" help:"Time under load; the faults are spread over it."`
	Plant    string        `enum:",deny,double,forge" default:"" env:"DEMO_PLANT" help:"Plants a fault that the check must find: deny (a backend server leaves runs out of its ledger), double (it enters runs twice) or forge (it falsifies answers)."`
	Binaries string        `env:"DEMO_BINARIES" help:"Directory of the programs; by default that of this one."`
	Keep     string        `env:"DEMO_KEEP" help:"Directory in which logs and ledgers are kept; by default they are removed."`
}

func main() {
	var set settings
	kong.Parse(&set, kong.Name("demo"), kong.Description("Runs the whole path under load and faults."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	kept, err := run(ctx, set)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	if !kept {
		os.Exit(1)
	}
}

// run plays the demo in a directory of its own; it returns whether every promise was kept.
func run(ctx context.Context, set settings) (kept bool, err error) {
	if set.Binaries == "" {
		program, err := os.Executable()
		if err != nil {
			return false, err
		}
		set.Binaries = filepath.Dir(program)
	}
	directory := set.Keep
	if directory == "" {
		directory, err = os.MkdirTemp("", "cowsliptally-demo-")
		if err != nil {
			return false, err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	} else if err := os.MkdirAll(directory, 0o755); err != nil {
		return false, err
	}
	return newStory(set).play(ctx, directory)
}
