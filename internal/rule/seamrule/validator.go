package seamrule

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"
)

// FieldError reports an invalid value of one field of a document.
type FieldError struct {
	// Field is the path of the field, for example selectors[2].targets.
	Field string `json:"field"`
	// Value is the value found, or empty if there is none.
	Value string `json:"value,omitempty"`
	// Allowed describes the values that the field may have.
	Allowed string `json:"allowed"`
}

// String names the field, the value and what is allowed.
func (e FieldError) String() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors holds all errors of one document.
type FieldErrors []FieldError

// Error lists the errors, one per line.
func (e FieldErrors) Error() string {
	lines := make([]string, 0, len(e)+1)
	if len(e) == 1 {
		lines = append(lines, "document has 1 fault")
	} else {
		lines = append(lines, fmt.Sprintf("document has %d faults", len(e)))
	}
	for _, f := range e {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// validator collects the errors of a document.
type validator struct {
	errs FieldErrors
}

func (f *validator) add(field, value, allowed string) {
	f.errs = append(f.errs, FieldError{Field: field, Value: value, Allowed: allowed})
}

// require adds an error unless ok is true.
func (f *validator) require(ok bool, field string, value any, allowed string) {
	if !ok {
		f.add(field, fmt.Sprint(value), allowed)
	}
}

// merge adds the errors of a validation, except for fields that already have an error.
func (f *validator) merge(err error) {
	var more FieldErrors
	if !errors.As(err, &more) {
		return
	}
	existing := slices.Clone(f.errs)
	for _, m := range more {
		if !slices.ContainsFunc(existing, func(k FieldError) bool { return k.Field == m.Field }) {
			f.errs = append(f.errs, m)
		}
	}
}

func (f *validator) err() error {
	if len(f.errs) == 0 {
		return nil
	}
	return f.errs
}

// checkNode checks that a YAML node can be decoded into the type.
func (f *validator) checkNode(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind == yaml.AliasNode {
		f.add(path, n.Value, "written out; aliases are not supported")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		f.checkNode(n, t.Elem(), path)
	case reflect.Struct:
		f.checkStruct(n, t, path)
	case reflect.Map:
		f.checkMap(n, t, path)
	case reflect.Slice:
		f.checkSequence(n, t, path)
	default:
		f.checkScalar(n, t, path)
	}
}

func (f *validator) checkStruct(n *yaml.Node, t reflect.Type, path string) {
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		known[name] = t.Field(i).Type
	}
	f.eachPair(n, path, func(key string, value *yaml.Node) {
		next, ok := known[key]
		if !ok {
			f.add(join(path, key), key, "one of the fields "+strings.Join(sortedKeys(known), ", "))
			return
		}
		f.checkNode(value, next, join(path, key))
	})
}

func (f *validator) checkMap(n *yaml.Node, t reflect.Type, path string) {
	f.eachPair(n, path, func(key string, value *yaml.Node) {
		f.checkNode(value, t.Elem(), join(path, key))
	})
}

func (f *validator) eachPair(n *yaml.Node, path string, visit func(key string, value *yaml.Node)) {
	if n.Kind != yaml.MappingNode {
		f.add(cmp.Or(path, "document"), n.Value, "a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i].Value
		if seen[key] {
			f.add(join(path, key), key, "a key that is given only once")
		}
		seen[key] = true
		visit(key, n.Content[i+1])
	}
}

func (f *validator) checkSequence(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.SequenceNode {
		f.add(path, n.Value, "a list")
		return
	}
	for i, item := range n.Content {
		f.checkNode(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (f *validator) checkScalar(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.ScalarNode {
		f.add(path, "", "a single value")
		return
	}
	if err := n.Decode(reflect.New(t).Interface()); err != nil {
		f.add(path, n.Value, "a value of type "+t.Kind().String())
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
