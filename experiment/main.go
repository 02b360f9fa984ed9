// Command experiment runs the real balancer, evaluator and ejector in a simulation
// of one service in virtual time, and prints the measurements.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"cowsliptally.example/cowsliptally/experiment/model"
	"cowsliptally.example/cowsliptally/experiment/plotter"
)

const (
	exitFailed   = 1
	exitBadInput = 2
)

// flags are the command-line flags.
type flags struct {
	List       bool    `help:"Print all scenarios and policies."`
	Scenario   string  `help:"Scenario to run; see --list." default:"slow" env:"EXPERIMENT_SCENARIO"`
	Policy     string  `help:"Policy that evaluates backend servers; see --list." default:"detect" env:"EXPERIMENT_POLICY"`
	Seed       uint64  `help:"Seed of the random numbers." default:"1" env:"EXPERIMENT_SEED"`
	Backends   int     `help:"Number of backend servers." default:"20" env:"EXPERIMENT_BACKENDS"`
	Rate       float64 `help:"Requests per second to each backend server." default:"10" env:"EXPERIMENT_RATE"`
	Slow       float64 `help:"Factor on service times of slow backend servers." default:"5" env:"EXPERIMENT_SLOW"`
	Errors     float64 `help:"Share of failed requests in scenarios with errors." default:"0.3" env:"EXPERIMENT_ERRORS"`
	Hours      float64 `help:"Virtual length of the run in hours." default:"5" env:"EXPERIMENT_HOURS"`
	Nodes      int     `help:"Ingress nodes; 0 takes the scenario's own number." default:"0" env:"EXPERIMENT_NODES"`
	Sigma      float64 `help:"Standard deviation of the logarithm of service times." default:"0.6" env:"EXPERIMENT_SIGMA"`
	BaseErrors float64 `help:"Share of failed requests of healthy backend servers." default:"0.0001" env:"EXPERIMENT_BASE_ERRORS"`
	Slots      int     `help:"Slots of each backend server." default:"4" env:"EXPERIMENT_SLOTS"`
	Floor      float64 `help:"Minimum share of the slots that stays in rotation." default:"0.7" env:"EXPERIMENT_FLOOR"`

	FalseEjectionHours float64 `help:"Target hours between false ejections; 0 takes the policy's default." default:"0" env:"EXPERIMENT_FALSE_EJECTION_HOURS"`

	Events bool `help:"Print each event of a node."`

	Plot string `help:"Write an SVG of the share of traffic over time to this file." placeholder:"FILE.svg" env:"EXPERIMENT_PLOT"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the experiment and prints the result. It returns
// the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	var f flags
	parser, err := kong.New(&f, kong.Name("experiment"), kong.Writers(stdout, stderr))
	if err != nil {
		return printError(stderr, exitFailed, err)
	}
	if _, err := parser.Parse(args); err != nil {
		return printError(stderr, exitBadInput, err)
	}
	if f.List {
		list(stdout)
		return 0
	}
	m, err := model.New(f.settings())
	if err != nil {
		return printError(stderr, exitBadInput, withoutOperation(err))
	}
	if f.Events {
		m.OnEvent(func(r model.Report) { _, _ = fmt.Fprintln(stdout, r) })
	}
	result := m.Run()
	if f.Plot != "" {
		if err := plotter.New(result).Write(f.Plot); err != nil {
			return printError(stderr, exitFailed, err)
		}
	}
	_, _ = fmt.Fprintln(stdout, result.Details())
	_, _ = fmt.Fprintln(stdout, result)
	return 0
}

func (f flags) settings() model.Settings {
	return model.Settings{
		Scenario:           f.Scenario,
		Policy:             f.Policy,
		Seed:               f.Seed,
		Backends:           f.Backends,
		Rate:               f.Rate,
		Slow:               f.Slow,
		Errors:             f.Errors,
		Hours:              f.Hours,
		Nodes:              f.Nodes,
		Sigma:              f.Sigma,
		BaseErrors:         f.BaseErrors,
		Slots:              f.Slots,
		Floor:              f.Floor,
		FalseEjectionHours: f.FalseEjectionHours,
	}
}

// withoutOperation returns the wrapped error, without the name of the operation.
func withoutOperation(err error) error {
	if cause := errors.Unwrap(err); cause != nil {
		return cause
	}
	return err
}

// printError prints an error and returns the exit code.
func printError(w io.Writer, code int, err error) int {
	_, _ = fmt.Fprintf(w, "experiment: %v\n", err)
	return code
}

// list prints the scenarios and policies.
func list(w io.Writer) {
	for _, s := range model.Scenarios() {
		_, _ = fmt.Fprintf(w, "scenario %-12s %s\n", s.Name, s.Summary)
	}
	for _, p := range model.Policies() {
		_, _ = fmt.Fprintf(w, "policy   %-12s %s\n", p.Name, p.Summary)
	}
}
