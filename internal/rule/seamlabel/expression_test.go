package seamlabel_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/rule/seamlabel"
)

func TestMatches(t *testing.T) {
	labels := map[string]string{"zone": "a", "tier": "hot", "example.org/rack": "7"}
	tests := []struct {
		text string
		want bool
	}{
		{"", true},
		{"zone=a", true},
		{"zone == a", true},
		{"zone = b", false},
		{"other = a", false},
		{"zone != b", true},
		{"zone != a", false},
		{"other != a", true},
		{"tier in (cold, hot)", true},
		{"tier in (cold)", false},
		{"other in (cold)", false},
		{"tier notin (cold,warm)", true},
		{"tier notin (hot)", false},
		{"other notin (hot)", true},
		{"zone", true},
		{"other", false},
		{"!other", true},
		{"! zone", false},
		{"example.org/rack=7, zone in (a), !spare", true},
		{"zone=a,tier=cold", false},
		{"in in (a)", false},
	}
	for _, tt := range tests {
		e, err := seamlabel.Parse(tt.text)
		if err != nil {
			t.Errorf("Parse(%q): %v", tt.text, err)
			continue
		}
		if got := e.Matches(labels); got != tt.want {
			t.Errorf("%q matches: %t, want %t", tt.text, got, tt.want)
		}
	}
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		text   string
		offset int
	}{
		{",", 0},
		{"zone=", 5},
		{"zone=a,", 7},
		{"zone in a", 8},
		{"zone in ()", 9},
		{"zone in (a", 10},
		{"zone in (a b)", 11},
		{"zone like a", 5},
		{"!zone=a", 5},
		{"zone=a tier=b", 7},
		{"-zone", 0},
		{"zone=a/b", 5},
	}
	for _, tt := range tests {
		_, err := seamlabel.Parse(tt.text)
		var parseError *seamlabel.ParseError
		if !errors.As(err, &parseError) {
			t.Errorf("Parse(%q): got %v, want a ParseError", tt.text, err)
			continue
		}
		if parseError.Offset != tt.offset {
			t.Errorf("Parse(%q): error at offset %d, want %d", tt.text, parseError.Offset, tt.offset)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "a=b", "a in (b, c), !d", "a notin (b), e != f, g", "a in (", "!=", "a==b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		e, err := seamlabel.Parse(text)
		if err != nil {
			return
		}
		again, err := seamlabel.Parse(e.String())
		if err != nil {
			t.Fatalf("canonical form %q of %q: %v", e, text, err)
		}
		if diff := cmp.Diff(e, again); diff != "" {
			t.Fatalf("%q differs after formatting and parsing it again (-first +again):\n%s", text, diff)
		}
	})
}
