package command

import (
	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// InForce shows on which nodes a revision is not in force.
type InForce struct {
	Revision uint64 `arg:"" optional:"" help:"Revision; the node's own by default."`
}

// Run prints the nodes that are behind or do not answer and fails if there are any.
func (i *InForce) Run(c *Context) error {
	ctx, cancel := c.call()
	defer cancel()
	request := &cowsliptallyv1.GetInForceRequest{Revision: i.Revision}
	response, err := c.Operator().GetInForce(ctx, connect.NewRequest(request))
	if err != nil {
		return callError("read revisions", err)
	}
	for _, node := range response.Msg.GetBehind() {
		c.printf("node=%s revision=%d error=%q\n", node.GetNode(), node.GetRevision(), node.GetError())
	}
	nodes := response.Msg.GetNodes()
	if !response.Msg.GetEverywhere() {
		return newError("in force", KindBehind, "%d of %d nodes are behind or do not answer", len(response.Msg.GetBehind()), nodes)
	}
	c.printf("in force on all %d nodes\n", nodes)
	return nil
}
