package command

import (
	"os"

	"cowsliptally.example/cowsliptally/configfile"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/updater"
)

// Apply changes the configuration to match a file.
type Apply struct {
	Proposal
	File  string `arg:"" type:"existingfile" help:"Configuration file (YAML)."`
	Prune bool   `help:"Delete services, routes and limits that the file lacks."`
}

// Run proposes the differences. A file that names a revision is applied only if
// that revision is the current one; --base takes precedence over it.
func (a *Apply) Run(c *Context) error {
	wanted, err := readFile(a.File)
	if err != nil {
		return err
	}
	current, err := c.configuration()
	if err != nil {
		return err
	}
	changes := configfile.Diff(current, wanted, diffMode(a.Prune))
	c.printf("%s", configfile.Describe(current, changes))
	base := current.GetRevision()
	if wanted.GetRevision() != 0 {
		base = wanted.GetRevision()
	}
	if a.Base != 0 {
		base = a.Base
	}
	if len(changes) == 0 {
		c.printf("nothing to change at revision %d\n", current.GetRevision())
		return nil
	}
	return a.submitAll(c, base, changes)
}

// submitAll proposes the changes in as many operations as the limit for one
// operation needs, each based on the revision of the previous one.
func (a *Apply) submitAll(c *Context, base uint64, changes []*cowsliptallyv1.Change) error {
	if len(changes) > updater.MaxChanges && (a.Operation != "" || a.DryRun) {
		return newError("apply", KindInput, "%d changes need several operations: --operation and --dry-run allow at most %d", len(changes), updater.MaxChanges)
	}
	for len(changes) > 0 {
		count := min(len(changes), updater.MaxChanges)
		revision, err := a.submit(c, base, changes[:count])
		if err != nil {
			return err
		}
		base = revision
		changes = changes[count:]
	}
	return nil
}

func readFile(path string) (*cowsliptallyv1.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Operation: "read file", Kind: KindInput, Err: err}
	}
	wanted, err := configfile.Decode(path, data)
	if err != nil {
		return nil, &Error{Operation: "read file", Kind: KindInput, Err: err}
	}
	return wanted, nil
}

func diffMode(prune bool) configfile.Mode {
	if prune {
		return configfile.Prune
	}
	return configfile.Keep
}
