// Command logservice is a stand-in for the platform's append-only log service.
package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"cowsliptally.example/cowsliptally/standin/logservice/server"
)

// headerTimeout bounds the time in which the headers of a call are read.
const headerTimeout = 10 * time.Second

type settings struct {
	Listen string `default:"127.0.0.1:7070" env:"LOGSERVICE_LISTEN" help:"IP and port to listen on."`
	Retain int    `default:"0" env:"LOGSERVICE_RETAIN" help:"Newest records to keep in a stream; 0 keeps all."`
	Slow   int    `default:"0" env:"LOGSERVICE_SLOW" help:"Delay of every answer in milliseconds."`
}

func main() {
	var config settings
	kong.Parse(&config, kong.Name("logservice"), kong.Description("Stand-in for the platform's log service."))
	faults := server.Faults{Retain: config.Retain, Slow: config.Slow}
	listener := &http.Server{
		Addr:              config.Listen,
		Handler:           server.New(server.WithFaults(faults)),
		ReadHeaderTimeout: headerTimeout,
	}
	log.SetFormatter(log.LogfmtFormatter)
	log.Info("listening", "address", config.Listen)
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, func() { listener.Close() })
	if err := listener.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Fatal("stopped", "error", err)
	}
	log.Info("stopped")
}
