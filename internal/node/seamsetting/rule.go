package seamsetting

import (
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// maxTextBytes is the maximum length of a text value.
const maxTextBytes = 1024

var (
	durationType = reflect.TypeFor[time.Duration]()
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hashPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// scalarRule defines the YAML scalars that a field of the settings accepts.
type scalarRule struct {
	// allowed describes the accepted values in messages to operators.
	allowed string
	accepts func(n *yaml.Node) bool
}

// textRules maps values of the allow tag to rules for string fields. Any other value of the tag lists the accepted
// strings, separated by |.
var textRules = map[string]scalarRule{
	"name":     textRule("1 to 63 lower-case letters, digits, dots and dashes", namePattern.MatchString),
	"address":  textRule("ip:port with a literal IP and a port from 1 to 65535", isAddress),
	"sha256":   textRule("64 lower-case hexadecimal digits", hashPattern.MatchString),
	"endpoint": textRule("ip:port, or a path if batcher is file", func(s string) bool { return s != "" }),
}

// newRule returns the rule of a scalar field with the given type and allow tag.
func newRule(t reflect.Type, allow string) scalarRule {
	switch {
	case t == durationType:
		return durationRule(allow)
	case t.Kind() == reflect.Bool:
		return scalarRule{allowed: "true or false", accepts: func(n *yaml.Node) bool { return n.Tag == "!!bool" }}
	case t.Kind() == reflect.Float64:
		return floatRule(allow)
	case t.Kind() == reflect.Int || t.Kind() == reflect.Int64:
		return intRule(allow)
	}
	if r, ok := textRules[allow]; ok {
		return r
	}
	return optionRule(strings.Split(allow, "|"))
}

func textRule(allowed string, valid func(string) bool) scalarRule {
	accepts := func(n *yaml.Node) bool {
		return n.Tag == "!!str" && len(n.Value) <= maxTextBytes && valid(n.Value)
	}
	return scalarRule{allowed: allowed, accepts: accepts}
}

func optionRule(options []string) scalarRule {
	valid := func(s string) bool {
		for _, o := range options {
			if s == o {
				return true
			}
		}
		return false
	}
	return textRule("one of "+strings.Join(options, ", "), valid)
}

func durationRule(allow string) scalarRule {
	low, high := bounds(allow, time.ParseDuration)
	accepts := func(n *yaml.Node) bool {
		d, err := time.ParseDuration(n.Value)
		return n.Tag == "!!str" && err == nil && d >= low && d <= high
	}
	return scalarRule{
		allowed: fmt.Sprintf("a duration with a unit (ms, s, m, h), from %s", formatRange(allow)),
		accepts: accepts,
	}
}

func floatRule(allow string) scalarRule {
	low, high := bounds(allow, parseFloat)
	accepts := func(n *yaml.Node) bool {
		var f float64
		numeric := n.Tag == "!!float" || n.Tag == "!!int"
		return numeric && n.Decode(&f) == nil && f >= low && f <= high
	}
	return scalarRule{allowed: "a number from " + formatRange(allow), accepts: accepts}
}

func intRule(allow string) scalarRule {
	low, high := bounds(allow, parseInt)
	accepts := func(n *yaml.Node) bool {
		var i int64
		return n.Tag == "!!int" && n.Decode(&i) == nil && i >= low && i <= high
	}
	return scalarRule{allowed: "a whole number from " + formatRange(allow), accepts: accepts}
}

// bounds parses "low..high". It panics on a malformed tag: tags are part of the source code, so any test that
// loads settings detects one.
func bounds[T any](allow string, parse func(string) (T, error)) (low, high T) {
	lowText, highText, _ := strings.Cut(allow, "..")
	low, err := parse(lowText)
	if err != nil {
		panic(err)
	}
	high, err = parse(highText)
	if err != nil {
		panic(err)
	}
	return low, high
}

func formatRange(allow string) string {
	return strings.Replace(allow, "..", " to ", 1)
}

func parseFloat(s string) (float64, error) { return strconv.ParseFloat(s, 64) }

func parseInt(s string) (int64, error) { return strconv.ParseInt(s, 10, 64) }

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}
