package seamcommand_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"

	"cardamomseam/internal/rule/seamadmintest"
	"cardamomseam/internal/rule/seamauth"
	"cardamomseam/internal/rule/seamcommand"
	"cardamomseam/internal/rule/seamstoretest"
)

var update = flag.Bool("update", false, "write the golden files")

// run executes a command line and returns its output and error.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := &cli.Command{
		Name:           "cardamomseam",
		Commands:       seamcommand.Commands(),
		Action:         seamcommand.UnknownCommand,
		Writer:         &out,
		ErrWriter:      &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(t.Context(), append([]string{"cardamomseam"}, args...))
	return out.String(), err
}

var (
	timePattern     = regexp.MustCompile(`20\d\d-\d\d-\d\dT[\d:.]+(Z|[+-]\d\d:\d\d)`)
	uuidPattern     = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	durationPattern = regexp.MustCompile(`after \d+m?s|"after": "?[\d.]+[µm]?s?"?`)
	secretPattern   = regexp.MustCompile(`cardamomseam_[\w-]{43}|[0-9a-f]{64}`)
)

// normalize replaces values that differ between runs: times, UUIDs, retry delays and secrets.
func normalize(text string) string {
	text = timePattern.ReplaceAllString(text, "TIME")
	text = uuidPattern.ReplaceAllString(text, "UUID")
	text = durationPattern.ReplaceAllString(text, "after DURATION")
	return secretPattern.ReplaceAllString(text, "SECRET")
}

func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

// TestOperatorSession runs a sequence of commands against one node and compares the output of each
// with a golden file.
func TestOperatorSession(t *testing.T) {
	n := seamadmintest.New(t)
	steps := []struct {
		name string
		args []string
		code int
	}{
		{"empty", []string{"get"}, 0},
		{"set", []string{"set", "-f", "testdata/tally.yaml", "--expect", "0", "--wait"}, 0},
		{"get", []string{"get", "tally"}, 0},
		{"list", []string{"get"}, 0},
		{"diff", []string{"diff", "-f", "testdata/tally2.yaml"}, 0},
		{"try", []string{"try", "-f", "testdata/tally2.yaml", "--path", "/hot/1"}, 0},
		{"refused", []string{"try", "--service", "tally", "--path", "/", "--method", "DELETE"}, 0},
		{"conflict", []string{"set", "-f", "testdata/tally2.yaml", "--expect", "0"}, seamcommand.CodeConflict},
		{"set2", []string{"set", "-f", "testdata/tally2.yaml", "--expect", "1", "--wait"}, 0},
		{"label", []string{"label", "--wait", "tally", "n2", "tier=cold"}, 0},
		{"faults", []string{"set", "-f", "testdata/faults.yaml"}, seamcommand.CodeUsage},
		{"delete", []string{"delete", "--wait", "tally"}, 0},
		{"missing", []string{"get", "tally"}, seamcommand.CodeNotFound},
		{"history", []string{"history", "tally"}, 0},
		{"versions", []string{"history", "--text", "tally"}, 0},
		{"status", []string{"status"}, 0},
		{"statusjson", []string{"status", "--output", "json"}, 0},
		{"keys", []string{"keys"}, 0},
		{"keysjson", []string{"keys", "--count", "1", "--output", "json"}, 0},
		{"drain", []string{"drain", "n1"}, 0},
		{"attest", []string{"attest", "erie-1", "n1", "n2"}, 0},
		{"token", []string{"token"}, 0},
	}
	for _, s := range steps {
		args := append([]string{s.args[0], "--address", n.Address}, s.args[1:]...)
		out, err := run(t, args...)
		if code := seamcommand.ExitCode(err); code != s.code {
			t.Fatalf("%s: exit code %d, want %d: %v", s.name, code, s.code, err)
		}
		if err != nil {
			out += "error: " + err.Error() + "\n"
		}
		checkGolden(t, s.name, normalize(out))
	}
}

func TestExitCodes(t *testing.T) {
	token, hash := seamauth.NewToken()
	n := seamadmintest.New(t, seamauth.Team{Name: "blue", Hash: hash, Roles: []seamauth.Role{seamauth.Write}, Services: []string{"tally"}})
	openNode := seamadmintest.New(t)
	tests := []struct {
		name string
		args []string
		code int
	}{
		{"unknown command", []string{"colour"}, seamcommand.CodeUsage},
		{"help for an unknown command", []string{"help", "colour"}, seamcommand.CodeUsage},
		{"unknown flag", []string{"get", "--colour"}, seamcommand.CodeUsage},
		{"unknown output format", []string{"get", "--output", "xml"}, seamcommand.CodeUsage},
		{"missing argument", []string{"delete"}, seamcommand.CodeUsage},
		{"key count of zero", []string{"keys", "--address", n.Address, "--token", token, "--count", "0"}, seamcommand.CodeUsage},
		{"missing file flag", []string{"set"}, seamcommand.CodeUsage},
		{"missing file", []string{"set", "-f", "testdata/none.yaml"}, seamcommand.CodeUsage},
		{"bad label", []string{"label", "tally", "n1", "tier"}, seamcommand.CodeUsage},
		{"no token", []string{"get", "--address", n.Address}, seamcommand.CodeDenied},
		{"other team's service", []string{"get", "--address", n.Address, "--token", token, "booker"}, seamcommand.CodeDenied},
		{"missing service", []string{"get", "--address", n.Address, "--token", token, "tally"}, seamcommand.CodeNotFound},
		{"drain of an unknown node", []string{"drain", "--address", openNode.Address, "n7"}, seamcommand.CodeNotFound},
		{"unreachable node", []string{"get", "--address", "127.0.0.1:1"}, seamcommand.CodeUnavailable},
	}
	for _, tt := range tests {
		if _, err := run(t, tt.args...); seamcommand.ExitCode(err) != tt.code {
			t.Errorf("%s: exit code %d, want %d: %v", tt.name, seamcommand.ExitCode(err), tt.code, err)
		}
	}
}

// TestSetUnavailableAndPending checks that set fails while the store is down, and that set --wait reports
// the cells that have not confirmed the change in time.
func TestSetUnavailableAndPending(t *testing.T) {
	n := seamadmintest.New(t)
	set := []string{"set", "--address", n.Address, "-f", "testdata/tally.yaml"}
	n.Store.SetDown(true)
	out, err := run(t, set...)
	if seamcommand.ExitCode(err) != seamcommand.CodeUnavailable || !strings.Contains(err.Error(), "The rules in force are unchanged") {
		t.Fatalf("%s %v", out, err)
	}
	n.Store.SetDown(false)
	n.SetUnreachableCell(true)
	out, err = run(t, append(set, "--wait", "--limit", "300ms")...)
	if seamcommand.ExitCode(err) != seamcommand.CodePending || !strings.Contains(err.Error(), "missing cells: superior-1") {
		t.Fatalf("%s %v", out, err)
	}
	if !strings.Contains(out, "confirmed cell erie-1") {
		t.Fatalf("output %s", out)
	}
}

func TestSetWithUnknownOutcomeNamesWriter(t *testing.T) {
	n := seamadmintest.New(t)
	n.Store.InjectFault = func() seamstoretest.WriteFault { return seamstoretest.RequestLost }
	_, err := run(t, "set", "--address", n.Address, "-f", "testdata/tally.yaml", "--writer", "w-7", "--limit", "1s")
	if seamcommand.ExitCode(err) != seamcommand.CodeUnavailable || !strings.Contains(err.Error(), "--writer w-7") {
		t.Fatalf("got %v", err)
	}
}
