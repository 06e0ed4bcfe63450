package seamingress_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cardamomseam/internal/route/seamingress"
	"cardamomseam/internal/route/seamoutcome"
	"cardamomseam/internal/route/seampick"
	"cardamomseam/internal/route/seampoison"
	"cardamomseam/internal/route/seamroutewire"
	"cardamomseam/internal/route/seamsession"
)

// The record of the quarantine has not reached the node whose target answers.
func TestAnsweredTrialEndsTheQuarantineWhereItBegan(t *testing.T) {
	guard := &seampoison.Guard{Table: seampoison.New(), Begin: func(context.Context, seampoison.Record, int64) error { return nil }}
	back := newNode(t, "back", echo)
	front := startNode(t, "front", nil, seamsession.Config{}, seamingress.Config{Poison: guard})
	front.directory.candidates = []seampick.Candidate{{Peer: back.peer, Slots: 32}}
	r, err := http.NewRequest(http.MethodGet, front.url("/book"), nil)
	if err != nil {
		t.Fatal(err)
	}
	head := seampoison.HeadDigest(&seamroutewire.RequestHead{Method: r.Method, Host: r.URL.Host, Path: "/book"})
	key := seampoison.Key{Service: "booker", Fingerprint: seampoison.NewFingerprint(head, nil)}
	guard.PutRecord(time.Now().Add(-time.Minute), seampoison.Record{Key: key, Revision: 1})
	do(t, r).expect(t, http.StatusOK, seamoutcome.Done, "")
	if ended := guard.Ended(); len(ended) != 1 {
		t.Errorf("got %+v, want the record, which is to be deleted", ended)
	}
}
