package seamrule

import (
	"bytes"
	"fmt"
	"reflect"

	"gopkg.in/yaml.v3"
)

// MaxDocumentBytes is the maximum size of a document's text.
const MaxDocumentBytes = 64 << 10

// Parse reads a document in YAML or JSON and validates it.
// The error is a FieldErrors that lists every invalid field.
func Parse(text []byte) (Document, error) {
	if len(text) > MaxDocumentBytes {
		allowed := fmt.Sprintf("at most %d bytes long", MaxDocumentBytes)
		return Document{}, FieldErrors{{Field: "document", Value: fmt.Sprintf("%d bytes", len(text)), Allowed: allowed}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return Document{}, FieldErrors{{Field: "document", Value: err.Error(), Allowed: "YAML or JSON"}}
	}
	if len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode {
		return Document{}, FieldErrors{{Field: "document", Allowed: "a mapping"}}
	}
	var f validator
	f.checkNode(root.Content[0], reflect.TypeFor[Document](), "")
	var d Document
	if err := root.Decode(&d); err != nil && len(f.errs) == 0 {
		f.add("document", err.Error(), "YAML or JSON")
	}
	f.merge(Validate(d))
	return d, f.err()
}

// Format returns the document in its canonical YAML form, which Parse accepts.
func Format(d Document) []byte {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(d); err != nil {
		panic(fmt.Sprintf("encode document as YAML: %v", err))
	}
	return b.Bytes()
}
