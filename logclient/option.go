package logclient

import (
	"net/http"
	"time"
)

// Option changes a setting of a Client.
type Option func(*Client)

// WithTimeout bounds an append and the part of a read beyond its wait.
func WithTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.timeout = timeout }
}

// WithBatch bounds the records of one read.
func WithBatch(records int) Option {
	return func(c *Client) { c.batch = records }
}

// WithTransport replaces the HTTP transport.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http = &http.Client{Transport: transport} }
}
