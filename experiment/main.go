// Command experiment drives the real balancer, judge and ejector through a
// small model of one service in virtual time, and prints what it measured.
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

// flags are the settings of the command line.
type flags struct {
	List       bool    `help:"Print all scenarios and policies."`
	Scenario   string  `help:"What happens; see --list." default:"slow" env:"EXPERIMENT_SCENARIO"`
	Policy     string  `help:"Who decides; see --list." default:"detect" env:"EXPERIMENT_POLICY"`
	Seed       uint64  `help:"Seed of all draws." default:"1" env:"EXPERIMENT_SEED"`
	Backends   int     `help:"Number of backend servers." default:"20" env:"EXPERIMENT_BACKENDS"`
	Rate       float64 `help:"Requests a second to each backend server." default:"10" env:"EXPERIMENT_RATE"`
	Slow       float64 `help:"Factor of slowness." default:"5" env:"EXPERIMENT_SLOW"`
	Errors     float64 `help:"Share of failed requests under errors." default:"0.3" env:"EXPERIMENT_ERRORS"`
	Hours      float64 `help:"Virtual hours." default:"5" env:"EXPERIMENT_HOURS"`
	Nodes      int     `help:"Ingress nodes; 0 takes the scenario's own number." default:"0" env:"EXPERIMENT_NODES"`
	Sigma      float64 `help:"Standard deviation of the logarithm of service times." default:"0.6" env:"EXPERIMENT_SIGMA"`
	BaseErrors float64 `help:"Share of failed requests of healthy backend servers." default:"0.0001" env:"EXPERIMENT_BASE_ERRORS"`
	Slots      int     `help:"Slots of each backend server." default:"4" env:"EXPERIMENT_SLOTS"`
	Floor      float64 `help:"Least part of the slots in rotation." default:"0.7" env:"EXPERIMENT_FLOOR"`

	FalseEjectionHours float64 `help:"Wanted hours between false ejections; 0 takes the policy's." default:"0" env:"EXPERIMENT_FALSE_EJECTION_HOURS"`

	Events bool `help:"Print each verdict."`

	Plot string `help:"Write an SVG of the share of traffic over time to this file." placeholder:"FILE.svg" env:"EXPERIMENT_PLOT"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses, runs and prints; it returns the exit code.
func run(args []string, out, complaints io.Writer) int {
	var f flags
	parser, err := kong.New(&f, kong.Name("experiment"), kong.Writers(out, complaints))
	if err != nil {
		return complain(complaints, exitFailed, err)
	}
	if _, err := parser.Parse(args); err != nil {
		return complain(complaints, exitBadInput, err)
	}
	if f.List {
		list(out)
		return 0
	}
	m, err := model.New(f.settings())
	if err != nil {
		return complain(complaints, exitBadInput, reason(err))
	}
	if f.Events {
		m.OnEvent(func(r model.Report) { _, _ = fmt.Fprintln(out, r) })
	}
	result := m.Run()
	if f.Plot != "" {
		if err := plotter.New(result).Write(f.Plot); err != nil {
			return complain(complaints, exitFailed, err)
		}
	}
	_, _ = fmt.Fprintln(out, result.Details())
	_, _ = fmt.Fprintln(out, result)
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

// reason returns the cause without the operation.
func reason(err error) error {
	if cause := errors.Unwrap(err); cause != nil {
		return cause
	}
	return err
}

func complain(w io.Writer, code int, err error) int {
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
