// Command rig plays the cases of the review as scripts: a small deployment on loopback addresses, with the
// project's nodes as separate processes and stand-ins of the store, the servers and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// watchdogTime bounds a case.
const watchdogTime = 110 * time.Second

// cases maps the names of cases to what plays them. Each returns why the rule was broken, or nothing.
var cases = map[string]func(f *fleet, trouble bool) (why []string, err error){
	"twice": playTwice,
	"route": playRoute,
	"name":  playName,
	"crash": playCrash,
	"lost":  playLost,
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNotRun)
	}
	f, err := newFleet(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	done := make(chan int, 1)
	go func() { done <- result(f, play) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	code := couldNotRun
	select {
	case code = <-done:
	case <-signals:
	case <-time.After(watchdogTime):
		f.note("result   the case did not end in time")
	}
	f.close()
	os.Exit(code)
}

func result(f *fleet, play func(*fleet, bool) ([]string, error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	f.note("begin    trouble=%t", trouble)
	why, err := play(f, trouble)
	if err != nil {
		f.note("result   could not run: %v", err)
		fmt.Println("could not run:", err)
		return couldNotRun
	}
	for _, line := range why {
		f.note("broken   %s", line)
	}
	f.note("result   %d breaks", len(why))
	fmt.Printf("%d breaks\n", len(why))
	if len(why) > 0 {
		fmt.Println(why[0])
		return broken
	}
	return held
}
