package forwarder

import (
	"encoding/json"
	"net/http"
)

// KeyPath is the path that returns a new idempotency key, which names this node as its
// deduplicator.
const KeyPath = "/.well-known/cowsliptally/key"

// keyAnswer is the body of an answer at KeyPath.
type keyAnswer struct {
	Key string `json:"key"`
}

func (f *Forwarder) issueKey(w http.ResponseWriter) {
	content, err := json.Marshal(keyAnswer{Key: f.deduplicator.Issue()})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// The error is ignored: a caller that has disconnected needs no key.
	_, _ = w.Write(append(content, '\n'))
}
