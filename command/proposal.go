package command

import (
	"connectrpc.com/connect"
	"github.com/google/uuid"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Proposal holds the flags of every subcommand that changes the configuration.
type Proposal struct {
	Author    string `env:"COWSLIPTALLY_AUTHOR,USER" help:"Author of the change, for the history."`
	Operation string `help:"Identifier of the operation, to repeat it safely; a new one by default."`
	Base      uint64 `help:"Revision that the change is based on; the current one by default."`
	DryRun    bool   `help:"Only show what would happen."`
}

// submit proposes changes to the base revision and returns the new revision.
func (p *Proposal) submit(c *Context, base uint64, changes []*cowsliptallyv1.Change) (uint64, error) {
	id := p.Operation
	if id == "" {
		fresh, err := uuid.NewV7()
		if err != nil {
			return 0, newError("propose", KindUnavailable, "cannot generate an operation identifier: %w", err)
		}
		id = fresh.String()
	}
	request := &cowsliptallyv1.ProposeRequest{
		Proposal: &cowsliptallyv1.Proposal{Operation: id, BaseRevision: base, Author: p.Author, Changes: changes},
		DryRun:   p.DryRun,
	}
	ctx, cancel := c.call()
	defer cancel()
	response, err := c.Operator().Propose(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, proposalError(id, err)
	}
	return report(c, response.Msg.GetVerdict(), p.DryRun)
}

// change proposes the changes of one subcommand, based on --base or else on the
// current revision.
func (p *Proposal) change(c *Context, changes ...*cowsliptallyv1.Change) error {
	base := p.Base
	if base == 0 {
		current, err := c.configuration()
		if err != nil {
			return err
		}
		base = current.GetRevision()
	}
	_, err := p.submit(c, base, changes)
	return err
}

// report prints the result of a proposal; a refusal is returned as an error.
func report(c *Context, result *cowsliptallyv1.Verdict, dryRun bool) (uint64, error) {
	if result.GetRefusal() != "" {
		return 0, newError("propose", KindRefused, "operation %s: %s; the current revision is %d", result.GetOperation(), result.GetRefusal(), result.GetCurrentRevision())
	}
	if dryRun {
		c.printf("would be accepted as revision %d\n", result.GetRevision())
		return result.GetRevision(), nil
	}
	c.printf("accepted as revision %d (operation %s)\n", result.GetRevision(), result.GetOperation())
	return result.GetRevision(), nil
}
