package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"cowsliptally.example/cowsliptally/settings"
)

// Version is the version of the program.
const Version = "0.1.0"

// root is the top level of the command line: shared flags and every subcommand.
type root struct {
	Version kong.VersionFlag `env:"-" help:"Print the version and exit."`
	Address string           `help:"Peer address of any node, for all commands but node." default:"127.0.0.1:7101" placeholder:"IP:PORT"`
	Wait    time.Duration    `help:"Longest wait for the node's answer." default:"10s"`

	Node      Node      `cmd:"" help:"Run a node beside the backend servers of this VM."`
	Status    Status    `cmd:"" help:"Show services, capacity, nodes and the log service; fails if a guarantee is at risk."`
	Explain   Explain   `cmd:"" help:"Show what happened to a backend server, a request or a service."`
	Events    Events    `cmd:"" help:"List a node's journal."`
	Counters  Counters  `cmd:"" help:"List a node's counters."`
	Apply     Apply     `cmd:"" help:"Change the configuration to match a file."`
	Diff      Diff      `cmd:"" help:"Show what apply would change."`
	Export    Export    `cmd:"" help:"Print the configuration as a file for apply."`
	History   History   `cmd:"" help:"List accepted changes, newest first."`
	InForce   InForce   `cmd:"" name:"inforce" help:"Show on which nodes a revision is not in force."`
	Operation Operation `cmd:"" help:"Show the outcome of an earlier change."`
	Service   Service   `cmd:"" help:"Change and list services."`
	Route     Route     `cmd:"" help:"Change and list routes."`
	Limit     Limit     `cmd:"" help:"Change and list limits of organisations."`
	Manual    Manual    `cmd:"" hidden:"" help:"Print the manual page."`
	Override  Override  `cmd:"" help:"Keep a backend server in or out of rotation."`
}

// Main runs the program with the given arguments and returns its exit code.
func Main(arguments []string, out, errs io.Writer) int {
	var commands root
	parser, err := newParser(&commands, out, errs)
	if err != nil {
		return printError(errs, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return printError(errs, &Error{Operation: "read the command line", Kind: KindInput, Err: err})
	}
	context := &Context{Address: commands.Address, Timeout: commands.Wait, Out: out}
	return printError(errs, parsed.Run(context))
}

func newParser(commands *root, out, errs io.Writer) (*kong.Kong, error) {
	return kong.New(commands,
		kong.Name("cowsliptally"),
		kong.Description("Proxy fleet for backend servers with gray failures. Every flag but --help and --version can also be set by an environment variable: --caller-address by COWSLIPTALLY_CALLER_ADDRESS."),
		kong.DefaultEnvars("COWSLIPTALLY"),
		kong.Vars{"version": "cowsliptally " + Version},
		kong.Writers(out, errs),
		kong.Exit(os.Exit),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
}

// printError writes the error, if any, as one line and returns the exit code.
func printError(errs io.Writer, err error) int {
	if err == nil {
		return 0
	}
	line := strings.ReplaceAll(err.Error(), "\n", " ")
	fmt.Fprintln(errs, "cowsliptally:", line)
	var setting *settings.Error
	if errors.As(err, &setting) {
		return exitInput
	}
	return ExitCode(err)
}
