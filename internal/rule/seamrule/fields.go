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

// FieldError says what is wrong with one field of a document.
type FieldError struct {
	// Field is the path of the field, for instance selectors[2].targets.
	Field string `json:"field"`
	// Value is the value found, or empty if there is none.
	Value string `json:"value,omitempty"`
	// Allowed says what the field may hold.
	Allowed string `json:"allowed"`
}

// String names the field, the value and what is allowed.
func (e FieldError) String() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors are all faults of one document.
type FieldErrors []FieldError

// Error lists the faults, one a line.
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

// fields gathers faults.
type fields struct {
	faults FieldErrors
}

func (f *fields) add(field, value, allowed string) {
	f.faults = append(f.faults, FieldError{Field: field, Value: value, Allowed: allowed})
}

// check adds a fault unless holds is true.
func (f *fields) check(holds bool, field string, value any, allowed string) {
	if !holds {
		f.add(field, fmt.Sprint(value), allowed)
	}
}

// merge adds the faults of a validation, except those of fields that are faulty already.
func (f *fields) merge(err error) {
	var more FieldErrors
	if !errors.As(err, &more) {
		return
	}
	known := slices.Clone(f.faults)
	for _, m := range more {
		if !slices.ContainsFunc(known, func(k FieldError) bool { return k.Field == m.Field }) {
			f.faults = append(f.faults, m)
		}
	}
}

func (f *fields) err() error {
	if len(f.faults) == 0 {
		return nil
	}
	return f.faults
}

// shape compares the tree of a document with the type that will hold it.
func (f *fields) shape(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind == yaml.AliasNode {
		f.add(path, n.Value, "written out; aliases are not supported")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		f.shape(n, t.Elem(), path)
	case reflect.Struct:
		f.structure(n, t, path)
	case reflect.Map:
		f.mapping(n, t, path)
	case reflect.Slice:
		f.sequence(n, t, path)
	default:
		f.scalar(n, t, path)
	}
}

func (f *fields) structure(n *yaml.Node, t reflect.Type, path string) {
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		known[name] = t.Field(i).Type
	}
	f.pairs(n, path, func(key string, value *yaml.Node) {
		next, ok := known[key]
		if !ok {
			f.add(join(path, key), key, "one of the fields "+strings.Join(sortedKeys(known), ", "))
			return
		}
		f.shape(value, next, join(path, key))
	})
}

func (f *fields) mapping(n *yaml.Node, t reflect.Type, path string) {
	f.pairs(n, path, func(key string, value *yaml.Node) {
		f.shape(value, t.Elem(), join(path, key))
	})
}

func (f *fields) pairs(n *yaml.Node, path string, visit func(key string, value *yaml.Node)) {
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

func (f *fields) sequence(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.SequenceNode {
		f.add(path, n.Value, "a list")
		return
	}
	for i, item := range n.Content {
		f.shape(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (f *fields) scalar(n *yaml.Node, t reflect.Type, path string) {
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
