// Package locator holds the path and query of a request in the form that is sent on. What is
// decided by the path is decided by this form: net/url decodes it, and encodes it in its own way.
package locator

import (
	"net/http"
	"net/url"
	"strings"
)

// Locator is the path and query of a request, byte for byte. It is immutable.
type Locator struct {
	path string
	// query begins with its question mark; it is empty without one.
	query string
}

// Of returns the locator of a request that a server received, or of one that was not sent yet.
func Of(r *http.Request) Locator {
	target := r.RequestURI
	if target == "" {
		target = r.URL.RequestURI()
	}
	query := ""
	if i := strings.IndexByte(target, '?'); i >= 0 {
		target, query = target[:i], target[i:]
	}
	if r.URL.Host != "" && !strings.HasPrefix(target, "/") {
		_, target, _ = strings.Cut(target, "://")
		target = "/" + after(target, "/") // RFC 9112, section 3.2.1: an empty path is sent as a slash
	}
	return Locator{path: target, query: query}
}

// after returns the part of a text behind a separator, or nothing without one.
func after(text, separator string) string {
	_, rest, _ := strings.Cut(text, separator)
	return rest
}

// Path returns the path without the query.
func (l Locator) Path() string { return l.path }

// String returns the path and query.
func (l Locator) String() string { return l.path + l.query }

// WithPrefix returns the locator with a prefix before its path.
func (l Locator) WithPrefix(prefix string) Locator {
	l.path = prefix + l.path
	return l
}

// WithoutPrefix returns the locator without the prefix of its path.
func (l Locator) WithoutPrefix(prefix string) Locator {
	l.path = strings.TrimPrefix(l.path, prefix)
	return l
}

// IsForwardable reports whether a request can be sent on with this locator unchanged. It has to be
// a path, not the asterisk or an opaque URI.
func (l Locator) IsForwardable() bool {
	return strings.HasPrefix(l.path, "/") && l.URL("").RequestURI() == l.String()
}

// URL returns the URL from which an HTTP client sends this path and query to a host.
func (l Locator) URL(host string) *url.URL {
	u := &url.URL{Scheme: "http", Host: host, Opaque: l.path, ForceQuery: l.query != ""}
	u.RawQuery = strings.TrimPrefix(l.query, "?")
	if !strings.HasPrefix(l.path, "//") {
		return u
	}
	// net/http takes an opaque part with two slashes for an authority.
	u.Opaque, u.RawPath = "", l.path
	u.Path, _ = url.PathUnescape(l.path)
	return u
}
