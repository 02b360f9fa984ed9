package fetcher

import (
	"net/http"
	"time"
)

// Option changes a setting of a Fetcher.
type Option func(*Fetcher)

// WithClient replaces the HTTP client.
func WithClient(client *http.Client) Option {
	return func(f *Fetcher) { f.client = client }
}

// WithTimeout sets the time limit of each call.
func WithTimeout(timeout time.Duration) Option {
	return func(f *Fetcher) { f.timeout = timeout }
}

// WithFanout sets how many nodes FetchStates queries.
func WithFanout(nodes int) Option {
	return func(f *Fetcher) { f.fanout = nodes }
}
