package command

import "cowsliptally.example/cowsliptally/configfile"

// Export prints the configuration as a file that Apply reads.
type Export struct{}

// Run prints the configuration in force at the node.
func (e *Export) Run(c *Context) error {
	current, err := c.configuration()
	if err != nil {
		return err
	}
	data, err := configfile.Encode(current)
	if err != nil {
		return newError("export", KindUnavailable, "%w", err)
	}
	c.printf("%s", data)
	return nil
}
