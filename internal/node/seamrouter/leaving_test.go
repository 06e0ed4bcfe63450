package seamrouter_test

import (
	"net/http"
	"testing"
	"time"
)

func TestLeavingTargetGetsNoRequestAfterItsHandoverGrace(t *testing.T) {
	f := newFleet(t, keyedService, plainService)
	f.awaitServed(f.nodes[1])
	leaving := f.nodes[0]
	f.announce(leaving, true)
	time.Sleep(leaving.settings.Stop.Linger + 200*time.Millisecond)
	before := leaving.target.runCount()
	for range 5 {
		if _, err := f.send(f.nodes[1], http.MethodGet, "/slots/x", keys[0]); err != nil {
			t.Error(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if n := leaving.target.runCount() - before; n != 0 {
		t.Errorf("%d requests were started at a target more than %v after it said that it leaves, want none: it may exit during them, and their callers get 502", n, leaving.settings.Stop.Linger)
	}
}
