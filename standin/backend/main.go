// Command backend is a stand-in for a backend server, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cowsliptally.example/cowsliptally/fleet"
	"cowsliptally.example/cowsliptally/standin/backend/server"
)

type settings struct {
	ID        string        `required:"" help:"Identifier, unique in the fleet." env:"BACKEND_ID"`
	Service   string        `required:"" help:"Service to announce." env:"BACKEND_SERVICE"`
	Address   string        `required:"" help:"IP:PORT to listen on." env:"BACKEND_ADDRESS"`
	Node      string        `required:"" help:"Peer address, IP:PORT, of the node on this VM." env:"BACKEND_NODE"`
	Slots     int           `default:"4" help:"Requests that run at a time." env:"BACKEND_SLOTS"`
	Work      time.Duration `default:"5ms" help:"Median service time." env:"BACKEND_WORK"`
	Spread    float64       `default:"0.3" help:"Sigma of the log-normal service time." env:"BACKEND_SPREAD"`
	ColdStart time.Duration `default:"0s" help:"Time after the start during which requests take longer." env:"BACKEND_COLD_START"`
	Ledger    string        `help:"File to which the ledger is written." env:"BACKEND_LEDGER"`
	Seed      uint64        `default:"1" help:"Seed of service times and faults." env:"BACKEND_SEED"`
}

func main() {
	var config settings
	kong.Parse(&config, kong.Description("A stand-in for a backend server."))
	if err := run(config); err != nil {
		fmt.Fprintln(os.Stderr, "backend:", err)
		os.Exit(1)
	}
}

func run(config settings) error {
	var sink io.Writer
	if config.Ledger != "" {
		file, err := os.OpenFile(config.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		sink = file
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	backend := server.New(fleet.BackendID(config.ID), fleet.ServiceName(config.Service),
		server.WithSlots(config.Slots), server.WithWork(config.Work, config.Spread),
		server.WithColdStart(config.ColdStart), server.WithLedgerSink(sink),
		server.WithSeed(config.Seed), server.WithNode(config.Node))
	return backend.Serve(ctx, listener)
}
