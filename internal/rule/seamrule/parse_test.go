package seamrule_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/rule/seamrule"
)

var update = flag.Bool("update", false, "write the golden files")

// TestParse compares the canonical form, or the errors, of each document in testdata with its golden file.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.in")
	if err != nil || len(files) == 0 {
		t.Fatalf("no documents: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		d, err := seamrule.Parse(text)
		got := string(seamrule.Format(d))
		if err != nil {
			got = err.Error() + "\n"
		}
		golden := strings.TrimSuffix(file, ".in") + ".golden"
		if *update {
			if err := os.WriteFile(golden, []byte(got), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(golden)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", file, diff)
		}
	}
}

func TestParseRejectsLongDocument(t *testing.T) {
	text := "service: tally\nselectors: [{name: a}] # " + strings.Repeat("x", seamrule.MaxDocumentBytes)
	if _, err := seamrule.Parse([]byte(text)); err == nil {
		t.Fatal("no error")
	}
}

func TestValidateChange(t *testing.T) {
	keyed := func(slots uint32, region string) seamrule.Document {
		return seamrule.Document{Service: "tally", Keyed: &seamrule.Keyed{KeySource: "path:1", Slots: slots, Homes: []seamrule.Home{{Region: region}}}}
	}
	other := keyed(4, "erie")
	other.Keyed.KeySource = "header:Seam-Key"
	tests := []struct {
		name string
		next seamrule.Document
		want []string
	}{
		{"same", keyed(4, "erie"), nil},
		{"other key source", other, nil},
		{"slots", keyed(5, "erie"), []string{"keyed.slots"}},
		{"homes", keyed(4, "ost"), []string{"keyed.homes"}},
		{"no keys", seamrule.Document{Service: "tally"}, []string{"keyed"}},
		{"service", seamrule.Document{Service: "booker", Keyed: keyed(4, "erie").Keyed}, []string{"service"}},
	}
	for _, tt := range tests {
		var got []string
		var invalid seamrule.FieldErrors
		errors.As(seamrule.ValidateChange(keyed(4, "erie"), tt.next), &invalid)
		for _, f := range invalid {
			got = append(got, f.Field)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"service: tally\nselectors: [{name: all}]",
		`{"service":"tally","selectors":[{"name":"all","weight":2}]}`,
		"service: c\nkeyed: {key: 'path:1', slots: 8, homes: [{region: a, prefixes: [x]}]}\nselectors: [{name: a, targets: 'a in (b)'}]",
		"a: &a [*a]", "[]", "null", "service: 3\nlabels: {n: {a: 1}}", "limits: null", "{a: 1, a: 2}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := seamrule.Parse([]byte(text))
		if err != nil {
			return
		}
		if _, err := seamrule.Compile(d); err != nil {
			t.Fatalf("a parsed document does not compile: %v", err)
		}
		again, err := seamrule.Parse(seamrule.Format(d))
		if err != nil {
			t.Fatalf("canonical form: %v\n%s", err, seamrule.Format(d))
		}
		if diff := cmp.Diff(string(seamrule.Format(d)), string(seamrule.Format(again))); diff != "" {
			t.Fatalf("document differs after formatting and parsing it again (-first +again):\n%s", diff)
		}
	})
}
