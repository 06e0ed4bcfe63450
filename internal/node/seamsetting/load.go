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

// maxFile is the size of the largest file of settings, in bytes.
const maxFile = 1 << 20

// Load reads and checks the settings in the YAML file at path and fills in the defaults.
// The error is Faults or *ReadError.
func Load(path string) (Settings, error) {
	content, err := read(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, content)
}

// Check reports what is wrong with the file at path without using it.
func Check(path string) error {
	_, err := Load(path)
	return err
}

// Parse is Load for content that was read already; file names it in faults.
func Parse(file string, content []byte) (Settings, error) {
	c := newChecker(file)
	root := c.document(content)
	if root == nil {
		return Settings{}, c.result()
	}
	c.group(root, reflect.TypeFor[Settings](), "")
	c.clashes(c.draft(root))
	if len(c.faults) > 0 {
		return Settings{}, c.result()
	}
	s, err := fill(root)
	if err != nil {
		c.fault(0, "file", err.Error(), "settings as in docs/operators/settings.md")
	}
	return s, c.result()
}

// Default returns the default of every field that has one; the required fields are empty.
func Default() Settings {
	var s Settings
	if err := conf.FillDefault(&s); err != nil {
		panic(err) // the tags are constants; the tests would have found it
	}
	return s
}

// read returns the content of a regular-sized file.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &ReadError{File: path, Cause: err}
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, &ReadError{File: path, Cause: err}
	}
	if len(content) > maxFile {
		return nil, &ReadError{File: path, Cause: fmt.Errorf("it is larger than %d bytes", maxFile)}
	}
	return content, nil
}

// document returns the root of the only YAML document in content, or nil after a fault.
func (c *checker) document(content []byte) *yaml.Node {
	d := yaml.NewDecoder(strings.NewReader(string(content)))
	var document yaml.Node
	if err := d.Decode(&document); err != nil {
		c.syntax(err)
		return nil
	}
	var second yaml.Node
	if err := d.Decode(&second); !errors.Is(err, io.EOF) {
		c.fault(second.Line, "file", "more than one document", "one YAML document")
		return nil
	}
	if len(document.Content) == 0 {
		c.fault(0, "file", "", "one YAML document")
		return nil
	}
	return document.Content[0]
}

// syntax turns an error of the YAML parser into a fault.
func (c *checker) syntax(err error) {
	if errors.Is(err, io.EOF) {
		c.fault(0, "file", "", "one YAML document")
		return
	}
	var line int
	if _, scan := fmt.Sscanf(err.Error(), "yaml: line %d:", &line); scan != nil {
		line = 0
	}
	c.fault(line, "file", err.Error(), "one YAML document")
}

// draft returns the settings as far as their types are right, so that clashes are found
// together with the other faults.
func (*checker) draft(root *yaml.Node) Settings {
	s := Default()
	var wrongTypes *yaml.TypeError
	if err := root.Decode(&s); err != nil && !errors.As(err, &wrongTypes) {
		return Default()
	}
	return withAddress(s)
}

// clashes adds a fault for each condition between fields that s does not meet,
// unless one of the fields is already known to be wrong.
func (c *checker) clashes(s Settings) {
	wrong := map[string]bool{}
	for _, f := range c.faults {
		wrong[f.Field] = true
	}
	for _, x := range clashes(s) {
		if !wrong[x.field] && !wrong[x.other] {
			c.fault(c.lines[x.field], x.field, x.value, x.allowed)
		}
	}
}

func withAddress(s Settings) Settings {
	if s.Address == "" {
		s.Address = s.Listen
	}
	return s
}

// fill decodes a tree through go-zero's conf. It goes by JSON, since conf reads YAML 1.1,
// in which a name such as "on" is not a text.
func fill(root *yaml.Node) (Settings, error) {
	var tree any
	if err := root.Decode(&tree); err != nil {
		return Settings{}, err
	}
	content, err := json.Marshal(tree)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	if err := conf.LoadFromJsonBytes(content, &s); err != nil {
		return Settings{}, err
	}
	return withAddress(s), nil
}
