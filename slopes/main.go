package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
)

// arguments are the command-line arguments.
type arguments struct {
	Parts []string      `arg:"" optional:"" help:"Parts to measure: memory, change, peers, announcements, request, appends; all by default."`
	Span  time.Duration `help:"Time over which each size of a running fleet is measured." default:"12s"`
}

// part is a group of measurements that share their setup.
type part struct {
	name    string
	measure func(arguments) ([]measurement, error)
}

func parts() []part {
	return []part{
		{"memory", measureMemory},
		{"change", measureChanges},
		{"peers", measurePeers},
		{"announcements", measureAnnouncements},
		{"request", measureRequests},
		{"appends", measureAppends},
	}
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Name("slopes"), kong.Description("Measures how costs grow with size."))
	fmt.Println(machine())
	for _, p := range parts() {
		if len(args.Parts) > 0 && !slices.Contains(args.Parts, p.name) {
			continue
		}
		measurements, err := p.measure(args)
		if err != nil {
			fmt.Fprintf(os.Stderr, "slopes: %s: %v\n", p.name, err)
			os.Exit(1)
		}
		printTable(os.Stdout, p.name, measurements)
	}
}
