// Command demo runs a whole fleet as separate processes under load and faults
// and checks the callers' results against the ledgers of the backend servers.
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
	Plant    string        `enum:",deny,double,forge" default:"" env:"DEMO_PLANT" help:"Plants a fault that the check must find: deny (a backend server leaves runs out of its ledger), double (it records runs twice) or forge (it falsifies answers)."`
	Binaries string        `env:"DEMO_BINARIES" help:"Directory of the programs; by default that of the demo itself."`
	Keep     string        `env:"DEMO_KEEP" help:"Directory in which logs and ledgers are kept; by default they are removed."`
}

func main() {
	var config settings
	kong.Parse(&config, kong.Name("demo"), kong.Description("Runs a whole fleet under load and faults."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	passed, err := run(ctx, config)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	if !passed {
		os.Exit(1)
	}
}

// run runs the demo in a temporary directory, or in config.Keep, and returns
// whether the check passed.
func run(ctx context.Context, config settings) (passed bool, err error) {
	if config.Binaries == "" {
		program, err := os.Executable()
		if err != nil {
			return false, err
		}
		config.Binaries = filepath.Dir(program)
	}
	directory := config.Keep
	if directory == "" {
		directory, err = os.MkdirTemp("", "cowsliptally-demo-")
		if err != nil {
			return false, err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	} else if err := os.MkdirAll(directory, 0o755); err != nil {
		return false, err
	}
	return newScenario(config).run(ctx, directory)
}
