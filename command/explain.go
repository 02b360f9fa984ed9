package command

import (
	"cowsliptally.example/cowsliptally/explainer"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
)

// Explain tells what happened, from the journals of all nodes that answer.
type Explain struct {
	Backend ExplainBackend `cmd:"" help:"Tell what was decided about a backend server, by whom and on which evidence."`
	Request ExplainRequest `cmd:"" help:"Tell what became of a request."`
	Service ExplainService `cmd:"" help:"Tell what happened to a service."`
}

// explanation holds what the ways of explaining share.
type explanation struct {
	JSON bool `help:"Print JSON for scripts." name:"json"`
}

// ExplainBackend explains a backend server.
type ExplainBackend struct {
	explanation
	ID string `arg:"" help:"Identifier of the backend server."`
}

// Run prints the story of the backend server.
func (e *ExplainBackend) Run(c *Context) error {
	return e.tell(c, e.ID, &cowsliptallyv1.ListEventsRequest{Subject: e.ID})
}

// ExplainRequest explains a request.
type ExplainRequest struct {
	explanation
	ID string `arg:"" help:"Identifier of the request."`
}

// Run prints the story of the request.
func (e *ExplainRequest) Run(c *Context) error {
	return e.tell(c, e.ID, &cowsliptallyv1.ListEventsRequest{Subject: e.ID})
}

// ExplainService explains a service.
type ExplainService struct {
	explanation
	Name string `arg:"" help:"Name of the service."`
}

// Run prints the story of the service.
func (e *ExplainService) Run(c *Context) error {
	return e.tell(c, e.Name, &cowsliptallyv1.ListEventsRequest{Service: e.Name})
}

// tell prints the merged story of a subject.
func (e *explanation) tell(c *Context, subject string, request *cowsliptallyv1.ListEventsRequest) error {
	sources, err := c.gather(request)
	if err != nil {
		return err
	}
	story := explainer.New(subject, sources)
	if e.JSON {
		return c.printJSON(story)
	}
	c.printf("%s", story.Text())
	return nil
}
