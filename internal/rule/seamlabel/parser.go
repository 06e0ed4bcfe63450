package seamlabel

import (
	"fmt"
	"strings"
)

const (
	// maxNameBytes is the maximum length of a label name.
	maxNameBytes = 253
	// maxValueBytes is the maximum length of a label value.
	maxValueBytes = 63
)

// ParseError reports a syntax error in an expression.
type ParseError struct {
	Text string
	// Offset is the byte offset of the error.
	Offset int
	// Want describes what the syntax allows there.
	Want string
}

// Error names the offset and what the syntax allows there.
func (e *ParseError) Error() string {
	return fmt.Sprintf("label expression %q: want %s at offset %d", e.Text, e.Want, e.Offset)
}

// Parse parses an expression. An empty expression matches all labels.
// The error is a *ParseError.
func Parse(text string) (Expression, error) {
	p := parser{text: text}
	p.skipSpace()
	if p.atEnd() {
		return Expression{}, nil
	}
	var e Expression
	for {
		r, err := p.requirement()
		if err != nil {
			return Expression{}, err
		}
		e.Requirements = append(e.Requirements, r)
		if p.atEnd() {
			return e, nil
		}
		if !p.consume(",") {
			return Expression{}, p.syntaxError("a comma or the end")
		}
	}
}

// ValidName reports whether text is a valid label name.
func ValidName(text string) bool {
	return valid(text, maxNameBytes, "-_./")
}

// ValidValue reports whether text is a valid label value.
func ValidValue(text string) bool {
	return valid(text, maxValueBytes, "-_.")
}

func valid(text string, maxBytes int, inner string) bool {
	if text == "" || len(text) > maxBytes {
		return false
	}
	for i := range len(text) {
		if !alphanumeric(text[i]) && !strings.Contains(inner, text[i:i+1]) {
			return false
		}
	}
	return alphanumeric(text[0]) && alphanumeric(text[len(text)-1])
}

func alphanumeric(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

type parser struct {
	text   string
	offset int
}

func (p *parser) atEnd() bool {
	return p.offset == len(p.text)
}

func (p *parser) syntaxError(want string) error {
	return &ParseError{Text: p.text, Offset: p.offset, Want: want}
}

func (p *parser) skipSpace() {
	for !p.atEnd() && strings.IndexByte(" \t\n\r", p.text[p.offset]) >= 0 {
		p.offset++
	}
}

// consume consumes the symbol and the space after it, and reports whether the symbol was next.
func (p *parser) consume(symbol string) bool {
	if !strings.HasPrefix(p.text[p.offset:], symbol) {
		return false
	}
	p.offset += len(symbol)
	p.skipSpace()
	return true
}

// word consumes and returns the longest run of name characters, and consumes the space after it.
func (p *parser) word() string {
	start := p.offset
	for !p.atEnd() && (alphanumeric(p.text[p.offset]) || strings.IndexByte("-_./", p.text[p.offset]) >= 0) {
		p.offset++
	}
	word := p.text[start:p.offset]
	p.skipSpace()
	return word
}

func (p *parser) name() (string, error) {
	start := p.offset
	name := p.word()
	if !ValidName(name) {
		p.offset = start
		return "", p.syntaxError("the name of a label")
	}
	return name, nil
}

func (p *parser) value() (string, error) {
	start := p.offset
	value := p.word()
	if !ValidValue(value) {
		p.offset = start
		return "", p.syntaxError("the value of a label")
	}
	return value, nil
}

func (p *parser) requirement() (Requirement, error) {
	p.skipSpace()
	absent := p.consume("!")
	name, err := p.name()
	if err != nil {
		return Requirement{}, err
	}
	if absent {
		return Requirement{Label: name, Operator: DoesNotExist}, nil
	}
	operator, err := p.operator()
	if err != nil {
		return Requirement{}, err
	}
	values, err := p.values(operator)
	return Requirement{Label: name, Operator: operator, Values: values}, err
}

func (p *parser) operator() (Operator, error) {
	if p.atEnd() || p.text[p.offset] == ',' {
		return Exists, nil
	}
	switch {
	case p.consume("=="), p.consume("="):
		return Equal, nil
	case p.consume("!="):
		return NotEqual, nil
	}
	start := p.offset
	switch p.word() {
	case string(In):
		return In, nil
	case string(NotIn):
		return NotIn, nil
	}
	p.offset = start
	return "", p.syntaxError("one of =, ==, !=, in, notin, a comma or the end")
}

func (p *parser) values(o Operator) ([]string, error) {
	switch o {
	case Equal, NotEqual:
		value, err := p.value()
		return []string{value}, err
	case In, NotIn:
		return p.valueSet()
	}
	return nil, nil
}

func (p *parser) valueSet() ([]string, error) {
	if !p.consume("(") {
		return nil, p.syntaxError("an opening parenthesis")
	}
	var values []string
	for {
		value, err := p.value()
		if err != nil {
			return nil, err
		}
		values = append(values, value)
		if p.consume(")") {
			return values, nil
		}
		if !p.consume(",") {
			return nil, p.syntaxError("a comma or a closing parenthesis")
		}
	}
}
