package logclient

import (
	"net/http"
	"time"
)

// Option changes a setting of a Client.
type Option func(*Client)

// WithTimeout sets the time limit of an append, and of a read in addition to its wait.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithBatchSize sets the largest number of records of one read.
func WithBatchSize(records int) Option {
	return func(c *Client) { c.batchSize = records }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http = &http.Client{Transport: transport} }
}
