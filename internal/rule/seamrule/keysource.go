package seamrule

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
)

// keySource extracts the key of a request.
type keySource interface {
	// key returns the key, or false if the request has none or more than one.
	key(r *http.Request) (string, bool)
}

// keySources holds the constructor of each kind of source, by the text before the colon. The argument
// is the text after the colon.
var keySources = map[string]func(argument string) (keySource, bool){
	"header": func(name string) (keySource, bool) {
		return headerKeySource(textproto.CanonicalMIMEHeaderKey(name)), validToken(name)
	},
	"query": func(name string) (keySource, bool) {
		return queryKeySource(name), validToken(name)
	},
	"path": func(number string) (keySource, bool) {
		n, err := strconv.Atoi(number)
		return pathKeySource(n), err == nil && n >= 1
	},
}

func parseKeySource(text string) (keySource, bool) {
	kind, argument, _ := strings.Cut(text, ":")
	newSource, ok := keySources[kind]
	if !ok {
		return nil, false
	}
	return newSource(argument)
}

func validToken(name string) bool {
	if name == "" {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// headerKeySource reads the key from the header with this canonical name.
type headerKeySource string

func (s headerKeySource) key(r *http.Request) (string, bool) {
	values := r.Header[string(s)]
	if len(values) != 1 {
		return "", false
	}
	return values[0], values[0] != ""
}

// queryKeySource reads the key from the query parameter with this name.
type queryKeySource string

func (s queryKeySource) key(r *http.Request) (string, bool) {
	var found string
	count := 0
	rest := r.URL.RawQuery
	for rest != "" {
		var pair string
		pair, rest, _ = strings.Cut(rest, "&")
		name, value, _ := strings.Cut(pair, "=")
		name, err := unescapeQuery(name)
		if err != nil {
			return "", false
		}
		if name != string(s) {
			continue
		}
		if found, err = unescapeQuery(value); err != nil {
			return "", false
		}
		count++
	}
	return found, count == 1 && found != ""
}

func unescapeQuery(text string) (string, error) {
	if !strings.ContainsAny(text, "%+") {
		return text, nil
	}
	return url.QueryUnescape(text)
}

// pathKeySource reads the key from the path segment with this number, counted from 1.
type pathKeySource int

func (s pathKeySource) key(r *http.Request) (string, bool) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	for range s - 1 {
		_, after, more := strings.Cut(rest, "/")
		if !more {
			return "", false
		}
		rest = after
	}
	segment, _, _ := strings.Cut(rest, "/")
	if strings.Contains(segment, "%") {
		unescaped, err := url.PathUnescape(segment)
		return unescaped, err == nil && unescaped != ""
	}
	return segment, segment != ""
}
