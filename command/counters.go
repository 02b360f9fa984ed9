package command

import (
	"strings"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Counters lists one node's metrics.
type Counters struct {
	Prefix string `arg:"" optional:"" help:"Only counters whose names begin with this prefix, such as refusal."`
	JSON   bool   `help:"Print JSON for scripts." name:"json"`
}

// Run prints one line for each metric.
func (k *Counters) Run(c *Context) error {
	ctx, cancel := c.call()
	defer cancel()
	response, err := c.Journal().ListCounters(ctx, connect.NewRequest(&cowsliptallyv1.ListCountersRequest{}))
	if err != nil {
		return callError("read counters", err)
	}
	values := map[string]float64{}
	for _, counter := range response.Msg.GetCounters() {
		if !strings.HasPrefix(counter.GetName(), k.Prefix) {
			continue
		}
		values[counter.GetName()] = counter.GetValue()
		if !k.JSON {
			c.printf("%s=%g\n", counter.GetName(), counter.GetValue())
		}
	}
	if k.JSON {
		return c.printJSON(values)
	}
	return nil
}
