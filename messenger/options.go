package messenger

import "net/http"

// Option changes a messenger's settings.
type Option func(*Messenger)

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(client *http.Client) Option {
	return func(m *Messenger) { m.client = client }
}
