// Package seamlabel holds label expressions in the set-based syntax that
// operators know from Kubernetes: "zone = a, tier in (hot, warm), !spare".
package seamlabel

import (
	"slices"
	"strings"
)

// Operator compares a label with the values of a requirement.
type Operator string

// Operators of requirements.
const (
	// Equal holds if the label has the value.
	Equal Operator = "="
	// NotEqual holds if the label is missing or has another value.
	NotEqual Operator = "!="
	// In holds if the label has one of the values.
	In Operator = "in"
	// NotIn holds if the label is missing or has none of the values.
	NotIn Operator = "notin"
	// Exists holds if the label is present.
	Exists Operator = "exists"
	// Missing holds if the label is absent.
	DoesNotExist Operator = "!"
)

// Requirement is one condition on one label.
type Requirement struct {
	Label    string
	Operator Operator
	// Values has one element for Equal and NotEqual, one or more for In and NotIn, none otherwise.
	Values []string
}

// Matches reports whether the labels satisfy the requirement.
func (r Requirement) Matches(labels map[string]string) bool {
	value, present := labels[r.Label]
	switch r.Operator {
	case Equal, In:
		return present && slices.Contains(r.Values, value)
	case NotEqual, NotIn:
		return !present || !slices.Contains(r.Values, value)
	case Exists:
		return present
	case DoesNotExist:
		return !present
	}
	return false
}

// String returns the requirement in its canonical form.
func (r Requirement) String() string {
	switch r.Operator {
	case Exists:
		return r.Label
	case DoesNotExist:
		return "!" + r.Label
	case Equal, NotEqual:
		return r.Label + " " + string(r.Operator) + " " + strings.Join(r.Values, "")
	default:
		return r.Label + " " + string(r.Operator) + " (" + strings.Join(r.Values, ", ") + ")"
	}
}

// Expression is a conjunction of requirements. The zero value matches all labels.
type Expression struct {
	Requirements []Requirement
}

// Matches reports whether the labels satisfy every requirement.
func (e Expression) Matches(labels map[string]string) bool {
	for i := range e.Requirements {
		if !e.Requirements[i].Matches(labels) {
			return false
		}
	}
	return true
}

// String returns the expression in its canonical form, which Parse reads back.
func (e Expression) String() string {
	parts := make([]string, 0, len(e.Requirements))
	for _, r := range e.Requirements {
		parts = append(parts, r.String())
	}
	return strings.Join(parts, ", ")
}
