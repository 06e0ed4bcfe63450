package seamadmin_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/rule/seamadmin"
)

var (
	documented = regexp.MustCompile("(?m)^\\| `([A-Z]+ /[^`]*)` \\|")
	variable   = regexp.MustCompile(`/[A-Z]+`)
)

// TestDocumentedRoutes checks that the table in docs/api.md lists exactly the routes served.
func TestDocumentedRoutes(t *testing.T) {
	text, err := os.ReadFile("../../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, m := range documented.FindAllStringSubmatch(string(text), -1) {
		method, path, _ := strings.Cut(m[1], " ")
		path = variable.ReplaceAllStringFunc(path, func(s string) string { return "/:" + strings.ToLower(s[1:]) })
		found = append(found, method+" "+path)
	}
	if diff := cmp.Diff(seamadmin.Routes(), found); diff != "" {
		t.Errorf("docs/api.md (-routes +documented):\n%s", diff)
	}
}
