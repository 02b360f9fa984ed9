// Command relay forwards TCP connections and cuts or delays one direction on
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

// headerTimeout bounds the time in which the headers of a call are read.
const headerTimeout = 10 * time.Second

type settings struct {
	Listen  string `required:"" env:"RELAY_LISTEN" help:"IP:PORT to listen on."`
	Target  string `required:"" env:"RELAY_TARGET" help:"IP:PORT to forward connections to."`
	Control string `required:"" env:"RELAY_CONTROL" help:"IP:PORT that serves POST /faults."`
}

func main() {
	var config settings
	kong.Parse(&config, kong.Description("Forwards TCP connections and breaks them on command."))
	if err := run(config); err != nil {
		fmt.Fprintln(os.Stderr, "relay:", err)
		os.Exit(1)
	}
}

func run(config settings) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	proxy := relay.New(config.Target)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		serveFaults(proxy, w, r)
	})
	control := &http.Server{Addr: config.Control, Handler: mux, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- control.ListenAndServe() }()
	go func() { failed <- proxy.Serve(ctx, listener) }()
	err = <-failed
	if ctx.Err() != nil {
		return control.Close()
	}
	return err
}

func serveFaults(proxy *relay.Relay, w http.ResponseWriter, r *http.Request) {
	var faults relay.Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	proxy.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
