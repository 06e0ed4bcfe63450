package seamcell_test

import (
	"testing"
	"time"
)

func settled(t *testing.T, w *world) {
	t.Helper()
	w.run(8 * time.Second)
	if d := w.untilHeld(10 * time.Second); w.held() != slotNumber {
		t.Fatalf("only %d slots held after %v: %s", w.held(), d, w.broken)
	}
}

func TestCellForms(t *testing.T) {
	w := newWorld(t, 1, 5)
	if testing.Verbose() {
		w.trace = t.Logf
	}
	settled(t, w)
	if w.broken != "" {
		t.Fatal(w.broken)
	}
	if w.backup() == nil {
		t.Fatal("no backup")
	}
}
