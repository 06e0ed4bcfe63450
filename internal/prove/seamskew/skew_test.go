package seamskew_test

import (
	"context"
	"encoding/json"
	"testing"

	"cardamomseam/internal/prove/seamskew"
)

func TestTry(t *testing.T) {
	for seed := range uint64(3) {
		r, err := seamskew.Run(context.Background(), seamskew.NewConfig(seed+1))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("least %v missed %v", r.Least, r.Missed())
		for _, p := range r.Policies {
			b, _ := json.Marshal(p)
			t.Log(string(b))
		}
	}
}
