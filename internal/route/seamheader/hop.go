package seamheader

import "net/http"

// After is the delay after which to retry a refused request, in milliseconds.
// It is more precise than Retry-After, which is in seconds.
const After = "Seam-After"

// hopByHop holds the headers that apply to one connection and are not forwarded.
var hopByHop = map[string]bool{
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

// EndToEnd reports whether the header with the canonical name is forwarded.
// options holds the canonical names that the Connection header lists.
func EndToEnd(name string, options []string) bool {
	if hopByHop[name] {
		return false
	}
	for _, option := range options {
		if option == name {
			return false
		}
	}
	return true
}

// ConnectionOptions returns the canonical names that the Connection headers of h list.
func ConnectionOptions(h http.Header) []string {
	var options []string
	for _, line := range h["Connection"] {
		for name := range splitList(line) {
			options = append(options, http.CanonicalHeaderKey(name))
		}
	}
	return options
}
