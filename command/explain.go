package command

import (
	"os"

	"cowsliptally.example/cowsliptally/explainer"
	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/logreader"
)

// Explain shows what happened, from the journals of all nodes that answer.
type Explain struct {
	Backend ExplainBackend `cmd:"" help:"Show the decisions about a backend server, the nodes that made them and the evidence."`
	Request ExplainRequest `cmd:"" help:"Show what happened to a request."`
	Service ExplainService `cmd:"" help:"Show what happened to a service."`
}

// explainFlags holds the flags of every explain subcommand.
type explainFlags struct {
	JSON bool `help:"Print JSON for scripts." name:"json"`
}

// ExplainBackend explains a backend server.
type ExplainBackend struct {
	explainFlags
	ID string `arg:"" help:"Identifier of the backend server."`
}

// Run prints the timeline of the backend server.
func (e *ExplainBackend) Run(c *Context) error {
	return e.explain(c, e.ID, &cowsliptallyv1.ListEventsRequest{Subject: e.ID})
}

// ExplainRequest explains a request.
type ExplainRequest struct {
	explainFlags
	ID   string   `arg:"" help:"Identifier of the request."`
	Logs []string `help:"Read log lines of nodes from files instead of querying nodes; - is the standard input." placeholder:"FILE"`
}

// Run prints the timeline of the request, from log files if any are given.
func (e *ExplainRequest) Run(c *Context) error {
	if len(e.Logs) > 0 {
		return e.explainFromLogs(c)
	}
	return e.explain(c, e.ID, &cowsliptallyv1.ListEventsRequest{Subject: e.ID})
}

// explainFromLogs prints the timeline of the request from log files of nodes.
func (e *ExplainRequest) explainFromLogs(c *Context) error {
	reader := logreader.New(e.ID)
	for _, name := range e.Logs {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	if skipped := reader.Skipped(); skipped > 0 {
		c.printf("%d lines mention %s and cannot be read\n", skipped, e.ID)
	}
	return e.print(c, explainer.New(e.ID, reader.Sources()).InCausalOrder())
}

// readLog reads one log file; - is the standard input.
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
	explainFlags
	Name string `arg:"" help:"Name of the service."`
}

// Run prints the timeline of the service.
func (e *ExplainService) Run(c *Context) error {
	return e.explain(c, e.Name, &cowsliptallyv1.ListEventsRequest{Service: e.Name})
}

// explain collects the matching events of all nodes and prints them as one timeline.
func (e *explainFlags) explain(c *Context, subject string, request *cowsliptallyv1.ListEventsRequest) error {
	sources, err := c.collectEvents(request)
	if err != nil {
		return err
	}
	return e.print(c, explainer.New(subject, sources))
}

// print prints a timeline as text or JSON.
func (e *explainFlags) print(c *Context, timeline explainer.Timeline) error {
	if e.JSON {
		return c.printJSON(timeline)
	}
	c.printf("%s", timeline.Text())
	return nil
}
