package forwarder

import (
	"encoding/json"
	"net/http"
)

// KeyPath answers with a new idempotency key that names this node as its guard.
const KeyPath = "/.well-known/cowsliptally/key"

// keyAnswer is the body of an answer at KeyPath.
type keyAnswer struct {
	Key string `json:"key"`
}

func (f *Forwarder) issueKey(w http.ResponseWriter) {
	content, err := json.Marshal(keyAnswer{Key: f.guard.Issue()})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	// A caller that is gone needs no key.
	_, _ = w.Write(append(content, '\n'))
}
