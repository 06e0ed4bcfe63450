package seamdiff_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cardamomseam/internal/rule/seamdiff"
)

func TestUnified(t *testing.T) {
	tests := []struct {
		name, before, after, want string
	}{
		{"equal", "a\nb\n", "a\nb\n", ""},
		{"from nothing", "", "a\n", "--- old\n+++ new\n@@ -0,0 +1,1 @@\n+a\n"},
		{"to nothing", "a\n", "", "--- old\n+++ new\n@@ -1,1 +0,0 @@\n-a\n"},
		{"change", "a\nb\nc\n", "a\nx\nc\n", "--- old\n+++ new\n@@ -1,3 +1,3 @@\n a\n-b\n+x\n c\n"},
		{
			"two hunks", "a\n1\n2\n3\n4\n5\n6\n7\n8\nb\n", "A\n1\n2\n3\n4\n5\n6\n7\n8\nB\n",
			"--- old\n+++ new\n@@ -1,4 +1,4 @@\n-a\n+A\n 1\n 2\n 3\n@@ -7,4 +7,4 @@\n 6\n 7\n 8\n-b\n+B\n",
		},
		{
			"joined hunk", "a\n1\n2\n3\n4\nb\n", "A\n1\n2\n3\n4\nB\n",
			"--- old\n+++ new\n@@ -1,6 +1,6 @@\n-a\n+A\n 1\n 2\n 3\n 4\n-b\n+B\n",
		},
	}
	for _, tt := range tests {
		if diff := cmp.Diff(tt.want, seamdiff.Unified("old", tt.before, "new", tt.after)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

func TestUnifiedOfLongTexts(t *testing.T) {
	before := strings.Repeat("a\n", 5000)
	after := strings.Repeat("b\n", 5000)
	got := seamdiff.Unified("old", before, "new", after)
	if n := strings.Count(got, "\n"); n != 10003 {
		t.Fatalf("%d lines", n)
	}
}
