package seamingress_test

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"cardamomseam/internal/route/seamheader"
)

// echo responds with the URI, a digest of the body, the method and the epoch of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Method", r.Method)
	w.Header().Set("X-Epoch", r.Header.Get(seamheader.Epoch))
	fmt.Fprintf(w, "%s %x", r.URL.RequestURI(), sum.Sum(nil))
}

func TestRequestReachesTargetOverOneHop(t *testing.T) {
	front, back := pair(t, echo)
	back.directory.candidates = front.directory.candidates
	big := strings.Repeat("0123456789", 100_000)
	for _, tt := range []struct {
		name, method, path, body string
		at                       *node
	}{
		{"get", http.MethodGet, "/a/b?c=d%2Fe", "", front},
		{"post", http.MethodPost, "/book", "room 3", front},
		{"long", http.MethodPost, "/photo", big, front},
		{"unusual method", "BREW", "//pot", "", front},
		{"local", http.MethodPost, "/book", "room 3", back},
		{"local long", http.MethodPost, "/photo", big, back},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := http.NewRequest(tt.method, tt.at.url(tt.path), strings.NewReader(tt.body))
			got := do(t, r)
			want := fmt.Sprintf("%s %x", tt.path, sha256.Sum256([]byte(tt.body)))
			if got.err != nil || got.status != http.StatusOK || got.body != want {
				t.Fatalf("got %d %q %v, want %q", got.status, got.body, got.err, want)
			}
			if o := got.header.Get(seamheader.Outcome); o != seamheader.Done {
				t.Errorf("outcome %q", o)
			}
			if s := got.header.Get(seamheader.Server); s != "back" {
				t.Errorf("server %q", s)
			}
			if len(got.header.Get(seamheader.Trace)) != 32 {
				t.Errorf("trace %q", got.header.Get(seamheader.Trace))
			}
		})
	}
}

func TestKeyedRequestCarriesEpoch(t *testing.T) {
	front, back := pair(t, echo)
	front.rules.decision.Keyed = true
	front.directory.owner = back.peer
	r, _ := http.NewRequest(http.MethodGet, front.url("/x"), nil)
	r.Header.Set(seamheader.Epoch, "99")
	got := do(t, r)
	if got.status != http.StatusOK || got.header.Get("X-Epoch") != "7" {
		t.Fatalf("got %d with epoch %q (%s)", got.status, got.header.Get("X-Epoch"), got.body)
	}
}
