package command

import (
	"connectrpc.com/connect"

	"cowsliptally.example/cowsliptally/explainer"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/translator"
)

// Events lists events of one node's journal, oldest first.
type Events struct {
	Subject string `help:"Only events of this backend server, request, node or operation."`
	Service string `help:"Only events of this service."`
	Limit   uint32 `default:"100" help:"Number of newest events to list; 0 lists all."`
	JSON    bool   `help:"Print JSON for scripts." name:"json"`
}

// Run prints the matching events.
func (e *Events) Run(c *Context) error {
	ctx, cancel := c.call()
	defer cancel()
	request := &cowsliptallyv1.ListEventsRequest{Subject: e.Subject, Service: e.Service, Limit: e.Limit}
	response, err := c.Journal().ListEvents(ctx, connect.NewRequest(request))
	if err != nil {
		return callError("read events", err)
	}
	source := explainer.Source{Node: response.Msg.GetNode()}
	for _, event := range response.Msg.GetEvents() {
		source.Events = append(source.Events, translator.EventFromMessage(event))
	}
	timeline := explainer.New(response.Msg.GetNode(), []explainer.Source{source})
	if e.JSON {
		return c.printJSON(timeline)
	}
	c.printf("%s", timeline.Text())
	return nil
}
