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
	// Value is the invalid value, or empty if there is none.
	Value string `json:"value,omitempty"`
	// Allowed describes the values that the field may have.
	Allowed string `json:"allowed"`
}

// String returns the field, its value and the allowed values as one line.
func (e FieldError) String() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors holds all errors of one document.
type FieldErrors []FieldError

// Error lists the errors, one per line.
func (e FieldErrors) Error() string {
	lines := make([]string, 0, len(e)+1)
	if len(e) == 1 {
		lines = append(lines, "document has 1 error")
	} else {
		lines = append(lines, fmt.Sprintf("document has %d errors", len(e)))
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

func (v *validator) add(field, value, allowed string) {
	v.errs = append(v.errs, FieldError{Field: field, Value: value, Allowed: allowed})
}

// require adds an error unless ok is true.
func (v *validator) require(ok bool, field string, value any, allowed string) {
	if !ok {
		v.add(field, fmt.Sprint(value), allowed)
	}
}

// merge adds the errors in err if it is a FieldErrors, except those of fields that already had an error.
func (v *validator) merge(err error) {
	var more FieldErrors
	if !errors.As(err, &more) {
		return
	}
	existing := slices.Clone(v.errs)
	for _, m := range more {
		if !slices.ContainsFunc(existing, func(k FieldError) bool { return k.Field == m.Field }) {
			v.errs = append(v.errs, m)
		}
	}
}

func (v *validator) err() error {
	if len(v.errs) == 0 {
		return nil
	}
	return v.errs
}

// checkNode checks that a YAML node can be decoded into the type. path is the node's field path in the document.
func (v *validator) checkNode(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind == yaml.AliasNode {
		v.add(path, n.Value, "a value without YAML aliases")
		return
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		v.checkNode(n, t.Elem(), path)
	case reflect.Struct:
		v.checkStruct(n, t, path)
	case reflect.Map:
		v.checkMap(n, t, path)
	case reflect.Slice:
		v.checkSequence(n, t, path)
	default:
		v.checkScalar(n, t, path)
	}
}

func (v *validator) checkStruct(n *yaml.Node, t reflect.Type, path string) {
	fieldTypes := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fieldTypes[name] = t.Field(i).Type
	}
	v.eachPair(n, path, func(key string, value *yaml.Node) {
		fieldType, ok := fieldTypes[key]
		if !ok {
			v.add(joinPath(path, key), key, "one of the fields "+strings.Join(sortedKeys(fieldTypes), ", "))
			return
		}
		v.checkNode(value, fieldType, joinPath(path, key))
	})
}

func (v *validator) checkMap(n *yaml.Node, t reflect.Type, path string) {
	v.eachPair(n, path, func(key string, value *yaml.Node) {
		v.checkNode(value, t.Elem(), joinPath(path, key))
	})
}

func (v *validator) eachPair(n *yaml.Node, path string, visit func(key string, value *yaml.Node)) {
	if n.Kind != yaml.MappingNode {
		v.add(cmp.Or(path, "document"), n.Value, "a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i].Value
		if seen[key] {
			v.add(joinPath(path, key), key, "a key that is given only once")
		}
		seen[key] = true
		visit(key, n.Content[i+1])
	}
}

func (v *validator) checkSequence(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.SequenceNode {
		v.add(path, n.Value, "a list")
		return
	}
	for i, item := range n.Content {
		v.checkNode(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (v *validator) checkScalar(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.ScalarNode {
		v.add(path, "", "a single value")
		return
	}
	if err := n.Decode(reflect.New(t).Interface()); err != nil {
		v.add(path, n.Value, "a value of type "+t.Kind().String())
	}
}

func joinPath(path, key string) string {
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
