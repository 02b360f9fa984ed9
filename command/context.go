package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	cowsliptallyv1 "cowsliptally.example/cowsliptally/gen/cowsliptally/v1"
	"cowsliptally.example/cowsliptally/gen/cowsliptally/v1/cowsliptallyv1connect"
)

// Context holds the connection settings and the output of the client subcommands.
type Context struct {
	// Address is the IP and port of a node's peer address.
	Address string
	// Timeout limits each call; 0 means no limit.
	Timeout time.Duration
	Out     io.Writer
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
}

// Operator returns a client of OperatorService.
func (c *Context) Operator() cowsliptallyv1connect.OperatorServiceClient {
	return cowsliptallyv1connect.NewOperatorServiceClient(c.client(), c.url())
}

// Journal returns a client of JournalService.
func (c *Context) Journal() cowsliptallyv1connect.JournalServiceClient {
	return cowsliptallyv1connect.NewJournalServiceClient(c.client(), c.url())
}

// Quota returns a client of QuotaService.
func (c *Context) Quota() cowsliptallyv1connect.QuotaServiceClient {
	return cowsliptallyv1connect.NewQuotaServiceClient(c.client(), c.url())
}

// call returns a context with the timeout of one call.
func (c *Context) call() (context.Context, context.CancelFunc) {
	if c.Timeout <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), c.Timeout)
}

// configuration returns the configuration in force at the node.
func (c *Context) configuration() (*cowsliptallyv1.Configuration, error) {
	ctx, cancel := c.call()
	defer cancel()
	response, err := c.Operator().GetConfiguration(ctx, connect.NewRequest(&cowsliptallyv1.GetConfigurationRequest{}))
	if err != nil {
		return nil, callError("read configuration", err)
	}
	return response.Msg.GetConfiguration(), nil
}

// printf writes to the output and ignores failed writes.
func (c *Context) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.Out, format, args...)
}

func (c *Context) client() *http.Client {
	if c.Client != nil {
		return c.Client
	}
	return http.DefaultClient
}

func (c *Context) url() string {
	return "http://" + c.Address
}
