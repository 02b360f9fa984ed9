package command

import "cowsliptally.example/cowsliptally/configfile"

// Diff prints the changes that Apply would propose.
type Diff struct {
	File  string `arg:"" type:"existingfile" help:"Configuration file (YAML)."`
	Prune bool   `help:"Include deletions of services, routes and limits that the file lacks."`
}

// Run prints one line for each difference.
func (d *Diff) Run(c *Context) error {
	wanted, err := readFile(d.File)
	if err != nil {
		return err
	}
	current, err := c.configuration()
	if err != nil {
		return err
	}
	c.printf("%s", configfile.Describe(current, configfile.Diff(current, wanted, diffMode(d.Prune))))
	return nil
}
