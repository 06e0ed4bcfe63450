package seamlabel

import (
	"fmt"
	"strings"
)

const (
	// maxName is the longest name of a label, in bytes.
	maxName = 253
	// maxValue is the longest value of a label, in bytes.
	maxValue = 63
)

// ParseError says where an expression departs from the syntax.
type ParseError struct {
	Text string
	// Offset is the position of the fault, in bytes.
	Offset int
	// Want says what the syntax allows there.
	Want string
}

// Error names the position and what is allowed there.
func (e *ParseError) Error() string {
	return fmt.Sprintf("label expression %q: want %s at offset %d", e.Text, e.Want, e.Offset)
}

// Parse reads an expression. The empty text matches all labels.
// The error is a *ParseError.
func Parse(text string) (Expression, error) {
	p := parser{text: text}
	p.space()
	if p.done() {
		return Expression{}, nil
	}
	var e Expression
	for {
		r, err := p.requirement()
		if err != nil {
			return Expression{}, err
		}
		e.Requirements = append(e.Requirements, r)
		if p.done() {
			return e, nil
		}
		if !p.take(",") {
			return Expression{}, p.fault("a comma or the end")
		}
	}
}

// ValidName reports whether text may name a label.
func ValidName(text string) bool {
	return valid(text, maxName, "-_./")
}

// ValidValue reports whether text may be the value of a label.
func ValidValue(text string) bool {
	return valid(text, maxValue, "-_.")
}

func valid(text string, longest int, inner string) bool {
	if text == "" || len(text) > longest {
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

func (p *parser) done() bool {
	return p.offset == len(p.text)
}

func (p *parser) fault(want string) error {
	return &ParseError{Text: p.text, Offset: p.offset, Want: want}
}

func (p *parser) space() {
	for !p.done() && strings.IndexByte(" \t\n\r", p.text[p.offset]) >= 0 {
		p.offset++
	}
}

// take consumes the symbol and the space after it, if it stands at the offset.
func (p *parser) take(symbol string) bool {
	if !strings.HasPrefix(p.text[p.offset:], symbol) {
		return false
	}
	p.offset += len(symbol)
	p.space()
	return true
}

// word consumes a run of characters of names and the space after it.
func (p *parser) word() string {
	start := p.offset
	for !p.done() && (alphanumeric(p.text[p.offset]) || strings.IndexByte("-_./", p.text[p.offset]) >= 0) {
		p.offset++
	}
	word := p.text[start:p.offset]
	p.space()
	return word
}

func (p *parser) name() (string, error) {
	start := p.offset
	name := p.word()
	if !ValidName(name) {
		p.offset = start
		return "", p.fault("the name of a label")
	}
	return name, nil
}

func (p *parser) value() (string, error) {
	start := p.offset
	value := p.word()
	if !ValidValue(value) {
		p.offset = start
		return "", p.fault("the value of a label")
	}
	return value, nil
}

func (p *parser) requirement() (Requirement, error) {
	p.space()
	absent := p.take("!")
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
	if p.done() || p.text[p.offset] == ',' {
		return Exists, nil
	}
	switch {
	case p.take("=="), p.take("="):
		return Equal, nil
	case p.take("!="):
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
	return "", p.fault("one of =, ==, !=, in, notin, a comma or the end")
}

func (p *parser) values(o Operator) ([]string, error) {
	switch o {
	case Equal, NotEqual:
		value, err := p.value()
		return []string{value}, err
	case In, NotIn:
		return p.set()
	}
	return nil, nil
}

func (p *parser) set() ([]string, error) {
	if !p.take("(") {
		return nil, p.fault("an opening parenthesis")
	}
	var values []string
	for {
		value, err := p.value()
		if err != nil {
			return nil, err
		}
		values = append(values, value)
		if p.take(")") {
			return values, nil
		}
		if !p.take(",") {
			return nil, p.fault("a comma or a closing parenthesis")
		}
	}
}
