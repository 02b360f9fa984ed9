package command

import (
	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Limit changes and lists the limits of organisations.
type Limit struct {
	Put    LimitPut    `cmd:"" help:"Set the limit of an organisation."`
	Delete LimitDelete `cmd:"" help:"Remove the limit of an organisation."`
	List   LimitList   `cmd:"" help:"List limits."`
	Use    LimitUse    `cmd:"" help:"List rate and use of the organisations in use, over the whole fleet."`
}

// LimitPut sets the limit of an organisation.
type LimitPut struct {
	Proposal
	Organisation string  `arg:"" help:"Name of the organisation."`
	Rate         float64 `required:"" help:"Requests per second."`
	Burst        uint32  `default:"1" help:"Largest number of requests that are admitted at once."`
}

// Run proposes the limit.
func (l *LimitPut) Run(c *Context) error {
	limit := &cowsliptallyv1.Limit{Organisation: l.Organisation, RequestsPerSecond: l.Rate, Burst: l.Burst}
	return l.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_PutLimit{PutLimit: limit}})
}

// LimitDelete removes the limit of an organisation.
type LimitDelete struct {
	Proposal
	Organisation string `arg:"" help:"Name of the organisation."`
}

// Run proposes the removal.
func (l *LimitDelete) Run(c *Context) error {
	return l.change(c, &cowsliptallyv1.Change{Edit: &cowsliptallyv1.Change_DeleteLimit{DeleteLimit: l.Organisation}})
}

// LimitList lists limits.
type LimitList struct{}

// Run prints one line for each limit.
func (l *LimitList) Run(c *Context) error {
	current, err := c.configuration()
	if err != nil {
		return err
	}
	for _, limit := range current.GetLimits() {
		c.printf("organisation=%s requestspersecond=%v burst=%d\n",
			limit.GetOrganisation(), limit.GetRequestsPerSecond(), limit.GetBurst())
	}
	return nil
}

// LimitUse lists the use of quotas over the whole fleet.
type LimitUse struct{}

// Run prints one line for each organisation in use and node that grants for it.
func (l *LimitUse) Run(c *Context) error {
	ctx, cancel := c.call()
	defer cancel()
	response, err := c.Quota().GetUse(ctx, connect.NewRequest(&cowsliptallyv1.GetUseRequest{Fleet: true}))
	if err != nil {
		return callError("read the use of quotas", err)
	}
	for _, use := range response.Msg.GetUses() {
		c.printf("organisation=%s requestspersecond=%v burst=%d granted=%d left=%.1f node=%s\n", use.GetOrganisation(),
			use.GetRequestsPerSecond(), use.GetBurst(), use.GetGranted(), use.GetTokens(), use.GetNode())
	}
	for _, node := range response.Msg.GetMissing() {
		c.printf("missing=%s\n", node)
	}
	return nil
}
