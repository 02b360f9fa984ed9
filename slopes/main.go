package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"
)

// arguments are the command line.
type arguments struct {
	Parts []string      `arg:"" optional:"" help:"Parts to measure: memory, change, peers, request, appends; all by default."`
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
		{"request", measureRequests},
		{"appends", measureAppends},
	}
}

func main() {
	var set arguments
	kong.Parse(&set, kong.Name("slopes"), kong.Description("Measures how costs grow with size."))
	fmt.Println(machine())
	for _, p := range parts() {
		if len(set.Parts) > 0 && !slices.Contains(set.Parts, p.name) {
			continue
		}
		measurements, err := p.measure(set)
		if err != nil {
			fmt.Fprintf(os.Stderr, "slopes: %s: %v\n", p.name, err)
			os.Exit(1)
		}
		printTable(os.Stdout, p.name, measurements)
	}
}
