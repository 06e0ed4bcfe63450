package seamrule

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
)

// source finds the key of a request.
type keySource interface {
	// key returns the key, and false if there is none or more than one.
	key(r *http.Request) (string, bool)
}

// sources makes a source from the part after the colon, by the part before it.
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

// headerSource takes the key from the header with this canonical name.
type headerKeySource string

func (s headerKeySource) key(r *http.Request) (string, bool) {
	values := r.Header[string(s)]
	if len(values) != 1 {
		return "", false
	}
	return values[0], values[0] != ""
}

// querySource takes the key from the query parameter with this name.
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

// pathSource takes the key from the segment with this number, from 1.
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
