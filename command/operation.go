package command

import (
	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Operation shows the outcome of an earlier change.
type Operation struct {
	ID string `arg:"" help:"Identifier of the operation."`
}

// Run prints the outcome; a refused operation is an error.
func (o *Operation) Run(c *Context) error {
	ctx, cancel := c.call()
	defer cancel()
	request := &cowsliptallyv1.GetOperationRequest{Operation: o.ID}
	response, err := c.Operator().GetOperation(ctx, connect.NewRequest(request))
	if err != nil {
		return callError("read operation", err)
	}
	_, err = report(c, response.Msg.GetVerdict(), false)
	return err
}
