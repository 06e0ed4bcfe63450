package seamsetting_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/node/seamsetting"
	"cardamomseam/internal/rule/seamrule"
)

const examples = "../../../examples"

// requiredOnly are settings with the required fields only.
const requiredOnly = `name: n1
region: erie
domain: erie-a
listen: 127.0.0.1:7301
ingress: {listen: "127.0.0.1:7302"}
store: {endpoints: ["127.0.0.1:2379"]}
`

func TestParseFillsDefaults(t *testing.T) {
	got, err := seamsetting.Parse("f.yaml", []byte(requiredOnly))
	if err != nil {
		t.Fatal(err)
	}
	want := seamsetting.Default()
	want.Name, want.Region, want.Domain = "n1", "erie", "erie-a"
	want.Listen, want.Address = "127.0.0.1:7301", "127.0.0.1:7301"
	want.Ingress.Listen = "127.0.0.1:7302"
	want.Store.Endpoints = []string{"127.0.0.1:2379"}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
	if got.Cell.Heartbeat != 300*time.Millisecond || got.Cell.Horizon != 20*time.Minute {
		t.Fatalf("cell defaults are %+v", got.Cell)
	}
}

// wantFault is an expected Fault; value and allowed are substrings.
type wantFault struct {
	line                  int
	field, value, allowed string
}

func TestParseReportsFaults(t *testing.T) {
	tests := []struct {
		name, content string
		want          []wantFault
	}{
		{"unknown field", requiredOnly + "colour: red\n", []wantFault{{7, "colour", "red", "one of the fields name, region"}}},
		{"unknown field in group", requiredOnly + "cell: {beat: 1s}\n", []wantFault{{7, "cell.beat", "1s", "heartbeat"}}},
		{"no unit", requiredOnly + "cell: {heartbeat: 300}\n", []wantFault{{7, "cell.heartbeat", "300", "with a unit"}}},
		{"bad unit", requiredOnly + "cell: {heartbeat: 3 sec}\n", []wantFault{{7, "cell.heartbeat", "3 sec", "with a unit"}}},
		{"range", requiredOnly + "cell: {max: 65}\n", []wantFault{{7, "cell.max", "65", "from 2 to 64"}}},
		{"type", requiredOnly + "target: {fence: maybe}\n", []wantFault{{7, "target.fence", "maybe", "true or false"}}},
		{"not a number", requiredOnly + "place: {churn: .nan}\n", []wantFault{{7, "place.churn", ".nan", "a number"}}},
		{"null", requiredOnly + "log: {level: }\n", []wantFault{{7, "log.level", "", "one of debug"}}},
		{"list for a text", requiredOnly + "region: [erie]\n", []wantFault{{7, "region", "a list of 1", "each field once"}}},
		{"text for a list", requiredOnly + "peers: 10.0.0.1:7301\n", []wantFault{{7, "peers", "10.0.0.1:7301", "a list"}}},
		{"text for a group", requiredOnly + "cell: fast\n", []wantFault{{7, "cell", "fast", "a group of fields"}}},
		{"host name", requiredOnly + "peers: [node:7301]\n", []wantFault{{7, "peers[0]", "node:7301", "literal IP"}}},
		{"port 0", requiredOnly + "peers: ['10.0.0.1:0']\n", []wantFault{{7, "peers[0]", "10.0.0.1:0", "literal IP"}}},
		{"alias", requiredOnly + "peers: [&p '10.0.0.1:1', *p]\n", []wantFault{{7, "peers[1]", "*p", "literal IP"}}},
		{"grant too long", requiredOnly + "cell: {grant: 1150ms}\n", []wantFault{{7, "cell.grant", "1.15s", "at most cell.takeover"}}},
		{"takeover too short", requiredOnly + "cell: {heartbeat: 450ms}\n", []wantFault{{0, "cell.takeover", "1.2s", "3 x cell.heartbeat"}}},
		{"min above max", requiredOnly + "cell: {min: 12}\n", []wantFault{{7, "cell.min", "12", "cell.max"}}},
		{"bound twice", requiredOnly + "admin: {listen: '0.0.0.0:7302'}\n", []wantFault{{7, "admin.listen", "0.0.0.0:7302", "ingress.listen"}}},
		{"unreachable", requiredOnly + "address: '0.0.0.0:7301'\n", []wantFault{{7, "address", "0.0.0.0:7301", "can reach"}}},
		{"trace endpoint", requiredOnly + "trace: {endpoint: spans}\n", []wantFault{{7, "trace.endpoint", "spans", "ip:port"}}},
		{"role", requiredOnly + "admin: {teams: [{name: a, hash: b, roles: [root]}]}\n", []wantFault{
			{7, "admin.teams[0].hash", "b", "64 lower-case"},
			{7, "admin.teams[0].roles[0]", "root", "one of read, write, operate"},
		}},
		{"syntax", "a: [\n", []wantFault{{1, "file", "did not find", "one YAML document"}}},
		{"empty", "", []wantFault{{0, "file", "", "one YAML document"}}},
		{"comment only", "# nothing\n", []wantFault{{0, "file", "", "one YAML document"}}},
		{"two documents", requiredOnly + "---\na: 1\n", []wantFault{{7, "file", "more than one", "one YAML document"}}},
		{"all missing", "cell: {}\n", []wantFault{
			{1, "name", "", "required"},
			{1, "region", "", "required"},
			{1, "domain", "", "required"},
			{1, "listen", "", "required: ip:port"},
			{1, "ingress.listen", "", "required: ip:port"},
			{1, "store.endpoints", "", "required: a list"},
		}},
		{"all at once", "name: N1\n" + requiredOnly[len("name: n1\n"):] + "color: 1\ncell: {heartbeat: 1, grant: 2s}\n", []wantFault{
			{1, "name", "N1", "lower-case"},
			{7, "color", "1", "one of the fields"},
			{8, "cell.heartbeat", "1", "with a unit"},
			{8, "cell.grant", "2s", "at most cell.takeover"},
		}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			_, err := seamsetting.Parse("f.yaml", []byte(x.content))
			var got seamsetting.Faults
			if !errors.As(err, &got) {
				t.Fatalf("error is %v", err)
			}
			compare(t, got, x.want)
		})
	}
}

func compare(t *testing.T, got seamsetting.Faults, want []wantFault) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got %d faults, want %d:\n%v", len(got), len(want), got)
	}
	for i, f := range got {
		w := want[i]
		same := f.File == "f.yaml" && f.Line == w.line && f.Field == w.field
		if !same || !strings.Contains(f.Value, w.value) || !strings.Contains(f.Allowed, w.allowed) {
			t.Errorf("fault %d is %+v, want %+v", i, f, w)
		}
	}
}

func TestParseReadsNameOnAsText(t *testing.T) {
	s, err := seamsetting.Parse("f.yaml", []byte("name: on\n"+requiredOnly[len("name: n1\n"):]))
	if err != nil || s.Name != "on" {
		t.Fatalf("name is %q, error %v", s.Name, err)
	}
}

func TestLoadMissingFile(t *testing.T) {
	err := seamsetting.Check(filepath.Join(t.TempDir(), "none.yaml"))
	var e *seamsetting.ReadError
	if !errors.As(err, &e) || !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("error is %v", err)
	}
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(examples, "*.yaml"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			check := checkDocument
			if strings.HasSuffix(f, "-node.yaml") {
				check = seamsetting.Check
			}
			if err := check(f); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func checkDocument(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	_, err = seamrule.Parse(text)
	return err
}

func FuzzParse(f *testing.F) {
	f.Add(requiredOnly)
	f.Add("a: &a [*a]\n")
	f.Fuzz(func(t *testing.T, content string) {
		s, err := seamsetting.Parse("f.yaml", []byte(content))
		var faults seamsetting.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error of type %T", err)
		}
		if err == nil && s.Name == "" {
			t.Fatal("accepted settings without a name")
		}
	})
}

// TestSettingsPageListsEveryField checks that the operators' page lists each field with its default and
// its allowed values.
func TestSettingsPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rowPrefixes(reflect.TypeFor[seamsetting.Settings](), "") {
		if !strings.Contains(string(page), row) {
			t.Errorf("no row begins with %s", row)
		}
	}
}

// rowPrefixes returns the expected beginning of each field's table row.
func rowPrefixes(group reflect.Type, path string) []string {
	var prefixes []string
	for _, f := range reflect.VisibleFields(group) {
		name, option, _ := strings.Cut(f.Tag.Get("json"), ",")
		element := f.Type
		suffix := ""
		if element.Kind() == reflect.Slice {
			element, suffix = element.Elem(), "[]"
		}
		if element.Kind() == reflect.Struct {
			prefixes = append(prefixes, rowPrefixes(element, path+name+suffix+".")...)
			continue
		}
		prefix := "| `" + path + name + "` | "
		if value, ok := strings.CutPrefix(option, "default="); ok {
			allowed := strings.Replace(f.Tag.Get("allow"), "..", " to ", 1)
			prefix += "`" + value + "` | " + strings.ReplaceAll(allowed, "|", ", ")
		}
		prefixes = append(prefixes, prefix)
	}
	return prefixes
}

// routerFile are the settings of a router with the required fields only.
const routerFile = `name: n1
region: ost
domain: ost-1
listen: 127.0.0.1:7101
ingress: 127.0.0.1:7102
announce: 127.0.0.1:7103
health: 127.0.0.1:7104
metrics: 127.0.0.1:7105
store: ["127.0.0.1:2379"]
`

func TestParseRouter(t *testing.T) {
	s, err := seamsetting.ParseRouter("f", []byte(routerFile+"retry: {ratio: 0.3, slack: 58, window: 10s}\nmemory: 284\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Balance.Policy != "utility" {
		t.Errorf("the default policy is %q", s.Balance.Policy)
	}
	if s.Retry.Ratio != 0.3 || s.Retry.Slack != 58 || s.Stop.Notice <= 0 || s.Memory != 284 || s.Log.Level != "info" {
		t.Errorf("got %+v", s)
	}
}

func TestParseRouterNamesInvalidFields(t *testing.T) {
	for name, tt := range map[string]struct{ change, field string }{
		"unknown field":      {"speed: 3\n", "speed"},
		"address twice":      {"health: 127.0.0.1:7101\n", "health"},
		"no address":         {"listen: somewhere\n", "listen"},
		"notice above limit": {"stop: {notice: 10s, limit: 1s}\n", "stop.notice"},
		"unknown policy":     {"balance: {policy: random}\n", "balance.policy"},
		"negative ratio":     {"retry: {ratio: -1}\n", "retry.ratio"},
	} {
		content := tt.change
		for _, line := range strings.SplitAfter(routerFile, "\n") {
			key, _, _ := strings.Cut(line, ":")
			if !strings.HasPrefix(tt.change, key+":") || key == "" {
				content += line
			}
		}
		_, err := seamsetting.ParseRouter("f", []byte(content))
		var faults seamsetting.Faults
		if !errors.As(err, &faults) || faults[0].Field != tt.field || faults[0].Allowed == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
}
