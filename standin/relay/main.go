// Command relay passes TCP connections on and cuts or delays one direction on
// command, for tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cowsliptally.example/cowsliptally/relay"
)

const headerTimeout = 10 * time.Second

type settings struct {
	Listen  string `required:"" env:"RELAY_LISTEN" help:"IP:PORT to listen on."`
	Target  string `required:"" env:"RELAY_TARGET" help:"IP:PORT to pass connections on to."`
	Control string `required:"" env:"RELAY_CONTROL" help:"IP:PORT that takes POST /faults."`
}

func main() {
	var set settings
	kong.Parse(&set, kong.Description("Passes TCP connections on and breaks them on command."))
	if err := run(set); err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(1)
	}
}

func run(set settings) error {
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return err
	}
	passing := relay.New(set.Target)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		takeFaults(passing, w, r)
	})
	control := &http.Server{Addr: set.Control, Handler: mux, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- control.ListenAndServe() }()
	go func() { failed <- passing.Serve(ctx, listener) }()
	err = <-failed
	if ctx.Err() != nil {
		return control.Close()
	}
	return err
}

func takeFaults(passing *relay.Relay, w http.ResponseWriter, r *http.Request) {
	var faults relay.Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	passing.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
