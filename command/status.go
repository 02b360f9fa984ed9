package command

import (
	"encoding/json"
	"strings"

	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/assessor"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// KindRisk means that a guarantee of the fleet is at risk.
const KindRisk Kind = "at risk"

// Status shows a summary of the fleet.
type Status struct {
	JSON bool `help:"Print JSON for scripts." name:"json"`
}

// Run prints the fleet's state and fails if a guarantee is at risk.
func (s *Status) Run(c *Context) error {
	status, err := c.status()
	if err != nil {
		return err
	}
	ctx, cancel := c.call()
	defer cancel()
	request := &cowsliptallyv1.GetInForceRequest{Revision: status.GetRevision()}
	inForce, err := c.Operator().GetInForce(ctx, connect.NewRequest(request))
	if err != nil {
		return callError("read revisions", err)
	}
	assessment := assessor.New(status, inForce.Msg.GetBehind())
	if err := s.print(c, assessment); err != nil {
		return err
	}
	if len(assessment.Risks) > 0 {
		return newError("status", KindRisk, "%s", strings.Join(assessment.Risks, "; "))
	}
	return nil
}

func (s *Status) print(c *Context, assessment assessor.Assessment) error {
	if s.JSON {
		return c.printJSON(assessment)
	}
	c.printf("%s", assessment.Text())
	return nil
}

// printJSON prints a value as indented JSON.
func (c *Context) printJSON(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	c.printf("%s\n", data)
	return nil
}
