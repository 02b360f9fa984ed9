package forwarder

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// identify returns what is the same each time a caller sends a request: its key, or
// a hash of its method, path and body.
func identify(key string, r *http.Request, content []byte) string {
	if key != "" {
		return "key:" + key
	}
	hash := sha256.New()
	_, _ = hash.Write([]byte(strings.Join([]string{r.Method, r.Host, r.URL.RequestURI(), ""}, "\x00")))
	_, _ = hash.Write(content)
	return "hash:" + hex.EncodeToString(hash.Sum(nil)[:16])
}
