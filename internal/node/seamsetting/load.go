package seamsetting

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/zeromicro/go-zero/core/conf"
	"gopkg.in/yaml.v3"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Load reads and checks the settings in the YAML file at path and fills in the defaults.
// Errors are of type Faults or *ReadError.
func Load(path string) (Settings, error) {
	content, err := read(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, content)
}

// LoadRouter is like Load, for the settings of a router.
func LoadRouter(path string) (Router, error) {
	content, err := read(path)
	if err != nil {
		return Router{}, err
	}
	return ParseRouter(path, content)
}

// Check validates the settings file at path.
func Check(path string) error {
	_, err := Load(path)
	return err
}

// CheckRouter is like Check, for the settings of a router.
func CheckRouter(path string) error {
	_, err := LoadRouter(path)
	return err
}

// Parse is like Load for content that is already in memory; file is the file name that faults contain.
func Parse(file string, content []byte) (Settings, error) {
	return parse(file, content, defaultAddress, settingsViolations)
}

// ParseRouter is like LoadRouter for content that is already in memory; file is the file name that faults contain.
func ParseRouter(file string, content []byte) (Router, error) {
	return parse(file, content, func(r Router) Router { return r }, routerViolations)
}

// parse checks and decodes a document as settings of type T. fillDefaults fills in defaults that depend
// on other fields, and violations returns the violated constraints between fields.
func parse[T any](file string, content []byte, fillDefaults func(T) T, violations func(T) []constraint) (T, error) {
	var zero T
	c := newChecker(file)
	root := c.parseDocument(content)
	if root == nil {
		return zero, c.result()
	}
	c.checkGroup(root, reflect.TypeFor[T](), "")
	c.addViolations(violations(fillDefaults(decodeLenient[T](root))))
	if len(c.faults) > 0 {
		return zero, c.result()
	}
	s, err := decode[T](root)
	if err != nil {
		c.addFault(0, "file", err.Error(), "settings as in docs/operators/settings.md")
	}
	return fillDefaults(s), c.result()
}

// Default returns settings in which each field has its default; required fields are empty.
func Default() Settings { return defaults[Settings]() }

func defaults[T any]() T {
	var s T
	if err := conf.FillDefault(&s); err != nil {
		panic(err) // a malformed tag, which the tests detect
	}
	return s
}

// read returns the content of a file. Errors are of type *ReadError, also for a file larger than maxFileBytes.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &ReadError{File: path, Cause: err}
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, &ReadError{File: path, Cause: err}
	}
	if len(content) > maxFileBytes {
		return nil, &ReadError{File: path, Cause: fmt.Errorf("file is larger than %d bytes", maxFileBytes)}
	}
	return content, nil
}

// parseDocument returns the root of the single YAML document in content. If there is none, it adds a fault and
// returns nil.
func (c *checker) parseDocument(content []byte) *yaml.Node {
	d := yaml.NewDecoder(strings.NewReader(string(content)))
	var document yaml.Node
	if err := d.Decode(&document); err != nil {
		c.addSyntaxFault(err)
		return nil
	}
	var second yaml.Node
	if err := d.Decode(&second); !errors.Is(err, io.EOF) {
		c.addFault(second.Line, "file", "more than one document", "one YAML document")
		return nil
	}
	if len(document.Content) == 0 {
		c.addFault(0, "file", "", "one YAML document")
		return nil
	}
	return document.Content[0]
}

// addSyntaxFault adds an error of the YAML parser as a fault.
func (c *checker) addSyntaxFault(err error) {
	if errors.Is(err, io.EOF) {
		c.addFault(0, "file", "", "one YAML document")
		return
	}
	var line int
	if _, scanErr := fmt.Sscanf(err.Error(), "yaml: line %d:", &line); scanErr != nil {
		line = 0
	}
	c.addFault(line, "file", err.Error(), "one YAML document")
}

// decodeLenient decodes the fields that have valid types and keeps the defaults of the others, so that violated
// constraints are reported together with the other faults.
func decodeLenient[T any](root *yaml.Node) T {
	s := defaults[T]()
	var wrongTypes *yaml.TypeError
	if err := root.Decode(&s); err != nil && !errors.As(err, &wrongTypes) {
		return defaults[T]()
	}
	return s
}

// addViolations adds a fault for each violated constraint, unless one of its fields already has a fault.
func (c *checker) addViolations(violated []constraint) {
	faulty := map[string]bool{}
	for _, f := range c.faults {
		faulty[f.Field] = true
	}
	for _, x := range violated {
		if !faulty[x.field] && !faulty[x.other] {
			c.addFault(c.lines[x.field], x.field, x.value, x.allowed)
		}
	}
}

func defaultAddress(s Settings) Settings {
	if s.Address == "" {
		s.Address = s.Listen
	}
	return s
}

// decode decodes a tree with go-zero's conf. It converts the tree to JSON first, because conf reads YAML 1.1,
// in which a name such as "on" is a boolean.
func decode[T any](root *yaml.Node) (T, error) {
	var s T
	var tree any
	if err := root.Decode(&tree); err != nil {
		return s, err
	}
	content, err := json.Marshal(tree)
	if err != nil {
		return s, err
	}
	err = conf.LoadFromJsonBytes(content, &s)
	return s, err
}
