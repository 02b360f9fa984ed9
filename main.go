// Command cowsliptally runs a node of the fleet or calls one.
package main

import (
	"os"

	"cowsliptally.example/cowsliptally/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
