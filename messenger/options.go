package messenger

import "net/http"

// Option configures a Messenger.
type Option func(*Messenger)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(client *http.Client) Option {
	return func(m *Messenger) { m.client = client }
}
