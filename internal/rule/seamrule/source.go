package seamrule

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
)

// source finds the key of a request.
type source interface {
	// key returns the key, and false if there is none or more than one.
	key(r *http.Request) (string, bool)
}

// sources makes a source from the part after the colon, by the part before it.
var sources = map[string]func(argument string) (source, bool){
	"header": func(name string) (source, bool) {
		return headerSource(textproto.CanonicalMIMEHeaderKey(name)), validToken(name)
	},
	"query": func(name string) (source, bool) {
		return querySource(name), validToken(name)
	},
	"path": func(number string) (source, bool) {
		n, err := strconv.Atoi(number)
		return pathSource(n), err == nil && n >= 1
	},
}

func parseSource(text string) (source, bool) {
	kind, argument, _ := strings.Cut(text, ":")
	make, ok := sources[kind]
	if !ok {
		return nil, false
	}
	return make(argument)
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
type headerSource string

func (s headerSource) key(r *http.Request) (string, bool) {
	values := r.Header[string(s)]
	if len(values) != 1 {
		return "", false
	}
	return values[0], values[0] != ""
}

// querySource takes the key from the query parameter with this name.
type querySource string

func (s querySource) key(r *http.Request) (string, bool) {
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
type pathSource int

func (s pathSource) key(r *http.Request) (string, bool) {
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
