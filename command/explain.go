package command

import (
	"os"

	"cowsliptally.example/cowsliptally/explainer"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/logreader"
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
	ID   string   `arg:"" help:"Identifier of the request."`
	Logs []string `help:"Read log lines of nodes from files instead of asking nodes; - is the standard input." placeholder:"FILE"`
}

// Run prints the story of the request.
func (e *ExplainRequest) Run(c *Context) error {
	if len(e.Logs) > 0 {
		return e.tellFromLogs(c)
	}
	return e.tell(c, e.ID, &cowsliptallyv1.ListEventsRequest{Subject: e.ID})
}

// tellFromLogs prints the story of the request as log lines tell it.
func (e *ExplainRequest) tellFromLogs(c *Context) error {
	reader := logreader.New(e.ID)
	for _, name := range e.Logs {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	if skipped := reader.Skipped(); skipped > 0 {
		c.printf("%d lines mention %s and cannot be read\n", skipped, e.ID)
	}
	return e.print(c, explainer.New(e.ID, reader.Sources()).ByCause())
}

// readLog reads one file of log lines.
func readLog(reader *logreader.Logreader, name string) error {
	if name == "-" {
		return reader.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return &Error{Operation: "read logs", Kind: KindInput, Err: err}
	}
	defer func() { _ = file.Close() }()
	return reader.Read(file)
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
	return e.print(c, explainer.New(subject, sources))
}

// print prints a story.
func (e *explanation) print(c *Context, story explainer.Story) error {
	if e.JSON {
		return c.printJSON(story)
	}
	c.printf("%s", story.Text())
	return nil
}
