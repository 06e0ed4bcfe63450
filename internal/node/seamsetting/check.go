package seamsetting

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"gopkg.in/yaml.v3"
)

// checker validates a YAML tree against the struct type that it is decoded into.
type checker struct {
	file   string
	faults Faults
	// lines maps the path of each field in the file to its line number.
	lines map[string]int
}

func newChecker(file string) *checker {
	return &checker{file: file, lines: map[string]int{}}
}

// result returns the faults sorted by line, or nil if there are none.
func (c *checker) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Line - b.Line })
	return c.faults
}

func (c *checker) addFault(line int, field, value, allowed string) {
	f := Fault{File: c.file, Line: line, Field: field, Value: value, Allowed: allowed}
	c.faults = append(c.faults, f)
}

// checkGroup checks a YAML mapping, called a group in the texts of faults, against the struct type t.
func (c *checker) checkGroup(n *yaml.Node, t reflect.Type, path string) {
	if n.Kind != yaml.MappingNode {
		c.addFault(n.Line, path, describe(n), "a group of fields: "+strings.Join(fieldNames(t), ", "))
		return
	}
	present := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		c.checkField(key, value, t, path, present)
	}
	c.reportMissing(n, t, path, present)
}

// checkField checks one field of a mapping against the struct type t and adds its name to present.
func (c *checker) checkField(key, value *yaml.Node, t reflect.Type, path string, present map[string]bool) {
	name := joinPath(path, key.Value)
	f, ok := fieldByName(t, key.Value)
	if !ok {
		c.addFault(key.Line, name, describe(value), "one of the fields "+strings.Join(fieldNames(t), ", "))
		return
	}
	if present[key.Value] {
		c.addFault(key.Line, name, describe(value), "each field once")
		return
	}
	present[key.Value] = true
	c.lines[name] = key.Line
	c.checkValue(value, f, name)
}

func (c *checker) checkValue(n *yaml.Node, f reflect.StructField, path string) {
	switch f.Type.Kind() {
	case reflect.Struct:
		c.checkGroup(n, f.Type, path)
	case reflect.Slice:
		c.checkList(n, f, path)
	default:
		c.checkScalar(n, newRule(f.Type, f.Tag.Get("allow")), path)
	}
}

func (c *checker) checkList(n *yaml.Node, f reflect.StructField, path string) {
	if n.Kind != yaml.SequenceNode {
		c.addFault(n.Line, path, describe(n), "a list")
		return
	}
	count := f.Tag.Get("count")
	low, high := bounds(count, parseInt)
	if l := int64(len(n.Content)); l < low || l > high {
		c.addFault(n.Line, path, describe(n), fmt.Sprintf("a list of %s entries", formatRange(count)))
	}
	for i, e := range n.Content {
		entry := fmt.Sprintf("%s[%d]", path, i)
		if f.Type.Elem().Kind() == reflect.Struct {
			c.checkGroup(e, f.Type.Elem(), entry)
			continue
		}
		c.checkScalar(e, newRule(f.Type.Elem(), f.Tag.Get("allow")), entry)
	}
}

func (c *checker) checkScalar(n *yaml.Node, r scalarRule, path string) {
	if n.Kind != yaml.ScalarNode || !r.accepts(n) {
		c.addFault(n.Line, path, describe(n), r.allowed)
	}
}

// reportMissing adds a fault for each required field that a mapping lacks, including those of absent groups.
func (c *checker) reportMissing(n *yaml.Node, t reflect.Type, path string, present map[string]bool) {
	for _, f := range reflect.VisibleFields(t) {
		name, options := fieldTag(f)
		if present[name] || options != "" {
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			c.reportMissing(n, f.Type, joinPath(path, name), nil)
			continue
		}
		c.addFault(n.Line, joinPath(path, name), "", "required: "+allowedFor(f))
	}
}

func allowedFor(f reflect.StructField) string {
	if f.Type.Kind() == reflect.Slice {
		element := newRule(f.Type.Elem(), f.Tag.Get("allow"))
		return fmt.Sprintf("a list of %s entries, each %s", formatRange(f.Tag.Get("count")), element.allowed)
	}
	return newRule(f.Type, f.Tag.Get("allow")).allowed
}

// fieldTag splits the json tag into the field's name and its options: optional or a default. A field without options
// is required.
func fieldTag(f reflect.StructField) (name, options string) {
	name, options, _ = strings.Cut(f.Tag.Get("json"), ",")
	return name, options
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for _, f := range reflect.VisibleFields(t) {
		if n, _ := fieldTag(f); n == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		n, _ := fieldTag(f)
		names = append(names, n)
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describe returns the text that stands for a YAML node in a fault. Scalars longer than maxTextBytes are truncated.
func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a group"
	case yaml.SequenceNode:
		return fmt.Sprintf("a list of %d", len(n.Content))
	case yaml.AliasNode:
		return "*" + n.Value
	}
	if len(n.Value) > maxTextBytes {
		return n.Value[:maxTextBytes] + "..."
	}
	return n.Value
}
