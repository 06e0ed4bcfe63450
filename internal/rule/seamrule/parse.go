package seamrule

import (
	"bytes"
	"fmt"
	"reflect"

	"gopkg.in/yaml.v3"
)

// MaxSize is the longest text of a document, in bytes.
const MaxDocumentBytes = 64 << 10

// Parse reads a document in YAML or JSON and checks it.
// The error is a FieldErrors with every fault.
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
	var f fields
	f.shape(root.Content[0], reflect.TypeFor[Document](), "")
	var d Document
	if err := root.Decode(&d); err != nil && len(f.faults) == 0 {
		f.add("document", err.Error(), "YAML or JSON")
	}
	f.merge(Validate(d))
	return d, f.err()
}

// Format returns the document as YAML in its canonical form, which Parse reads back.
func Format(d Document) []byte {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(d); err != nil {
		panic(fmt.Sprintf("encode a document of plain fields: %v", err))
	}
	return b.Bytes()
}
