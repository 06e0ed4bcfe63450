package seamoutcome_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"cardamomseam/internal/route/seamoutcome"
)

func TestOperatorsTableIsComplete(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/requests.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range seamoutcome.Table() {
		row := fmt.Sprintf("| `%s` | %s | %d |", r.Reason, r.Outcome, r.Status)
		if n := strings.Count(string(page), row); n != 1 {
			t.Errorf("row %q stands %d times in the page", row, n)
		}
	}
}

func TestRefusalsThatMayBeRepeatedSayWhen(t *testing.T) {
	for _, r := range seamoutcome.Table() {
		busy := r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
		if busy != r.RetryLater || r.RetryElsewhere && r.Outcome != seamoutcome.Refused {
			t.Errorf("row %+v", r)
		}
	}
}
