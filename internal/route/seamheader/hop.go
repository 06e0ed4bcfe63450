package seamheader

import "net/http"

// After is the time after which to retry a refused request, in milliseconds;
// it refines Retry-After, which counts seconds.
const After = "Seam-After"

// hop holds the headers that belong to one connection and are not passed on.
var hop = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// Passes reports whether a header in canonical form is passed on. named holds
// the names that the Connection header lists, in canonical form.
func EndToEnd(name string, named []string) bool {
	if hop[name] {
		return false
	}
	for _, n := range named {
		if n == name {
			return false
		}
	}
	return true
}

// Named returns the names that the Connection headers of h list, in canonical form.
func ConnectionOptions(h http.Header) []string {
	var names []string
	for _, line := range h["Connection"] {
		for name := range splitList(line) {
			names = append(names, http.CanonicalHeaderKey(name))
		}
	}
	return names
}
